package conf

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads a settings file into the variables of the table. Errors are of type
// *Error. After an error, some variables may have been set.
func Load(file string, t *Table) error {
	data, err := os.ReadFile(file)
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		return &Error{File: file, Reason: err.Error()}
	}
	return Parse(file, data, t)
}

// LoadChecked is like Load and then calls validate, which checks rules that
// concern more than one setting.
func LoadChecked(file string, t *Table, validate func() *Error) error {
	if err := Load(file, t); err != nil {
		return err
	}
	if invalid := validate(); invalid != nil {
		invalid.File = file
		return invalid
	}
	return nil
}

// BothOrNeither returns an error when only one of two settings that depend on
// each other is set.
func BothOrNeither(key, value, other, otherValue string) *Error {
	if (value == "") == (otherValue == "") {
		return nil
	}
	return &Error{Key: other, Reason: key + " and " + other + " belong together"}
}

// Parse is like Load for data that is already in memory. The name of the file is
// used in errors only.
func Parse(file string, data []byte, t *Table) error {
	var values map[string]any
	if err := toml.Unmarshal(data, &values); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			line, _ := decodeErr.Position()
			return &Error{File: fmt.Sprintf("%s:%d", file, line), Reason: strings.TrimPrefix(err.Error(), "toml: ")}
		}
		return &Error{File: file, Reason: err.Error()}
	}
	flat := map[string]any{}
	flatten("", values, flat)
	for _, r := range t.rows {
		value, ok := flat[r.Key]
		delete(flat, r.Key)
		if !ok {
			if r.Required {
				return &Error{File: file, Key: r.Key, Reason: "is missing"}
			}
			continue
		}
		if reason := r.set(value); reason != "" {
			return &Error{File: file, Key: r.Key, Reason: reason}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(flat)) {
		return &Error{File: file, Key: key, Reason: "is no setting of this program"}
	}
	return nil
}

// flatten copies the values of nested tables to out under dotted keys.
func flatten(prefix string, in, out map[string]any) {
	for key, value := range in {
		if table, ok := value.(map[string]any); ok {
			flatten(prefix+key+".", table, out)
			continue
		}
		out[prefix+key] = value
	}
}
