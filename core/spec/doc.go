// Package spec parses the service text, the TOML document in which operators
// configure services, kinds of request, routes and workspaces.
//
// Parse validates the whole text and reports every error with its line and key. A
// parsed Text must not be modified and is safe for concurrent use.
package spec
