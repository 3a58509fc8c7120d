// Package core is the root of the library shared by the galenalock programs.
//
// Decision packages below it are pure: they take the time as an argument,
// start no goroutine and open no socket. The programs carry messages and bytes
// between them.
package core

// Version is the version of the protocols between the programs.
const Version = 1
