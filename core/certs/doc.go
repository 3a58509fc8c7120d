// Package certs provides TLS configurations whose certificates, keys and
// authorities can be reloaded while the process runs.
//
// Between processes of a fleet, both sides present a certificate signed by the
// fleet's own authority. Host names and addresses are not verified, because the
// addresses of instances change; the authority must therefore sign no other
// certificates.
package certs
