package conf

import "fmt"

// Error is a fault of a settings file.
type Error struct {
	File   string
	Key    string // empty: the file as a whole
	Reason string
}

// Error names file, key and reason in one line.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Reason)
}
