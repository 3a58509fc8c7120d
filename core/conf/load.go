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

// Load reads a settings file into the variables of the table. Its error is of
// type *Error.
func Load(file string, t *Table) error {
	data, err := os.ReadFile(file)
	if err != nil {
		var path *os.PathError
		if errors.As(err, &path) {
			err = path.Err
		}
		return &Error{File: file, Reason: err.Error()}
	}
	return Read(file, data, t)
}

// LoadChecked is Load with a check of what no single row of the table can tell.
func LoadChecked(file string, t *Table, check func() *Error) error {
	if err := Load(file, t); err != nil {
		return err
	}
	if fault := check(); fault != nil {
		fault.File = file
		return fault
	}
	return nil
}

// Together returns a fault when only one of two settings that belong together
// is set.
func Together(key, value, other, otherValue string) *Error {
	if (value == "") == (otherValue == "") {
		return nil
	}
	return &Error{Key: other, Reason: key + " and " + other + " belong together"}
}

// Read is Load for data that is already in memory; file is used in errors only.
func Read(file string, data []byte, t *Table) error {
	var values map[string]any
	if err := toml.Unmarshal(data, &values); err != nil {
		var decode *toml.DecodeError
		if errors.As(err, &decode) {
			row, _ := decode.Position()
			return &Error{File: fmt.Sprintf("%s:%d", file, row), Reason: strings.TrimPrefix(err.Error(), "toml: ")}
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

// flatten turns tables into dotted keys.
func flatten(prefix string, in, out map[string]any) {
	for key, value := range in {
		if table, ok := value.(map[string]any); ok {
			flatten(prefix+key+".", table, out)
			continue
		}
		out[prefix+key] = value
	}
}
