// Package refuse defines why the fleet refuses a request and how it says so.
//
// Every refusal is answered as application/problem+json with a machine-readable
// reason and the field run, which tells whether the request may have run.
package refuse
