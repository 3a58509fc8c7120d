// Package board keeps the newest notice of each subject, so that an instance that
// links later gets what the others have been sent before.
package board
