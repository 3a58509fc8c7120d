// Package admin implements the administration API of a control replica: JSON
// over HTTP for the service text, status, drains and group membership.
package admin
