// Package relay forwards commands and read confirmations from any control
// replica to the leader of the group.
package relay
