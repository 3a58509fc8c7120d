// Package roll plays changes of a configuration while the processes of a fleet are
// restarted or replaced by those of another build, and checks that each accepted
// change is in force on every entry in time.
package roll
