// Package refuse defines the reasons why the fleet refuses a request and the
// response that reports them.
//
// Every refusal is sent as application/problem+json with a machine-readable
// reason and the field run, which tells whether the request may have run.
package refuse
