// Package prog implements the main function of a program that runs until it is
// signalled to stop. It handles the command line, signals, exit codes and reloads
// of the settings file.
package prog
