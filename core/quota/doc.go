// Package quota keeps the fleet within the request rate that a target in trouble
// accepts.
//
// A target may name in its responses how many requests a second it accepts from
// all entries together. Target tracks what one incarnation of a target has named.
//
// All methods of Target are safe for concurrent use and take the time as an
// argument.
package quota
