// Package certs provides TLS configurations whose keys and authorities are
// read again while the process runs.
//
// Between the processes of a fleet both sides present a certificate of the
// fleet's own authority. Addresses are not part of the check, because
// instances come and go with their addresses; the authority must therefore
// sign nothing else.
package certs
