package conf

import "fmt"

// Error is an error in a settings file.
type Error struct {
	File   string
	Key    string // empty if the error concerns the whole file
	Reason string
}

// Error returns the file, the key and the reason in one line.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Reason)
}
