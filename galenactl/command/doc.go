// Package command holds the commands of galenactl, one file each. A file adds
// its command to the program by calling Register.
package command
