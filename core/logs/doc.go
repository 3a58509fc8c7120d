// Package logs builds the JSON-lines logger of a process.
package logs
