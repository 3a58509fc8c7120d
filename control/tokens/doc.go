// Package tokens answers the questions of entries for tokens of workspaces: it grants
// them on the leader, and forwards the questions on other replicas.
package tokens
