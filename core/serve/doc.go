// Package serve runs HTTP servers with bounds on bodies, headers, times and
// connections, and answers errors of administration interfaces as
// problem+json.
package serve
