// Package relay takes commands and questions to the leader of the control
// group, from whichever replica received them.
package relay
