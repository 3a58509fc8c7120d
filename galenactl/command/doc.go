// Package command implements the commands of galenactl, in one file each. The
// init function of a file adds its commands with Register.
package command
