// Package prog is the main function of a program that runs until a signal:
// settings file, exit codes and signals.
package prog
