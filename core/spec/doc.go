// Package spec reads the service text: the one TOML text in which operators
// list services, kinds of request, routes and workspaces.
//
// Parse checks the text as a whole and reports every error with its line and
// key. A parsed Text is immutable and safe for concurrent use.
package spec
