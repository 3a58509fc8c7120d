package spec

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxTextBytes limits the size of a service text.
const MaxTextBytes = 8 << 20

type rawText struct {
	Limits    *rawLimits     `toml:"limits,omitempty"`
	Service   []rawService   `toml:"service,omitempty"`
	Route     []rawRoute     `toml:"route,omitempty"`
	Workspace []rawWorkspace `toml:"workspace,omitempty"`
}

type rawLimits struct {
	Header     int    `toml:"header,omitempty"`
	Body       int64  `toml:"body,omitempty"`
	HeaderTime string `toml:"headertime,omitempty"`
	Idle       string `toml:"idle,omitempty"`
}

type rawService struct {
	Name        string    `toml:"name"`
	Floor       string    `toml:"floor"`
	Policy      string    `toml:"policy,omitempty"`
	Depends     []string  `toml:"depends,omitempty"`
	Home        string    `toml:"home,omitempty"`
	Health      string    `toml:"health,omitempty"`
	Connections int       `toml:"connections,omitempty"`
	Kind        []rawKind `toml:"kind,omitempty"`
}

type rawKind struct {
	Name     string   `toml:"name,omitempty"`
	Methods  []string `toml:"methods,omitempty"`
	Path     string   `toml:"path,omitempty"`
	Repeat   *bool    `toml:"repeat"`
	Key      string   `toml:"key,omitempty"`
	Weight   *float64 `toml:"weight,omitempty"`
	Timeout  string   `toml:"timeout,omitempty"`
	Goal     string   `toml:"goal,omitempty"`
	Priority int      `toml:"priority,omitempty"`
	Attempts int      `toml:"attempts,omitempty"`
	Hedge    bool     `toml:"hedge,omitempty"`
	Upload   bool     `toml:"upload,omitempty"`
}

type rawRoute struct {
	Name    string         `toml:"name,omitempty"`
	Host    string         `toml:"host,omitempty"`
	Prefix  string         `toml:"prefix,omitempty"`
	Service string         `toml:"service,omitempty"`
	Split   []rawSplitPart `toml:"split,omitempty,inline"`
	Strip   bool           `toml:"strip,omitempty"`
	Public  bool           `toml:"public,omitempty"`
	Kind    *rawKind       `toml:"kind,omitempty,inline"`
}

type rawSplitPart struct {
	Service string   `toml:"service"`
	Weight  *float64 `toml:"weight"`
}

type rawWorkspace struct {
	Name     string   `toml:"name"`
	Services []string `toml:"services,omitempty"`
	Rate     float64  `toml:"rate,omitempty"`
	Burst    float64  `toml:"burst,omitempty"`
	Priority *int     `toml:"priority,omitempty"`
	Keyed    bool     `toml:"keyed,omitempty"`
	Keys     []string `toml:"keys,omitempty"`
}

// Parse parses and validates a service text. An error is of type Errors.
func Parse(text []byte) (*Text, error) {
	if len(text) > MaxTextBytes {
		return nil, Errors{{Reason: fmt.Sprintf("the text has %d bytes, the limit is %d", len(text), MaxTextBytes)}}
	}
	raw, err := decode(text)
	if err != nil {
		return nil, decodeErrors(err)
	}
	return check(text, raw)
}

func decode(text []byte) (*rawText, error) {
	raw := &rawText{}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return raw, decoder.Decode(raw)
}

func check(text []byte, raw *rawText) (*Text, error) {
	c := &checker{text: text}
	parsed := c.check(raw)
	if len(c.errors) > 0 {
		return nil, c.sortedErrors()
	}
	return parsed, nil
}

func decodeErrors(err error) Errors {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		out := make(Errors, 0, len(unknown.Errors))
		for i := range unknown.Errors {
			row, _ := unknown.Errors[i].Position()
			out = append(out, &Error{Line: row, Key: strings.Join(unknown.Errors[i].Key(), "."), Reason: "unknown key"})
		}
		return out
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		row, _ := syntax.Position()
		reason := strings.TrimPrefix(syntax.Error(), "toml: ")
		return Errors{{Line: row, Key: strings.Join(syntax.Key(), "."), Reason: reason}}
	}
	return Errors{{Reason: err.Error()}}
}

// keyLines maps each key path, such as service[0].floor, to its line. The text
// must have been decoded without an error.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	prefix := ""
	var parser unstable.Parser
	parser.Reset(text)
	for parser.NextExpression() {
		node := parser.Expression()
		parts, line := keyPath(&parser, node)
		switch node.Kind {
		case unstable.ArrayTable:
			prefix = arrayPath(counts, parts)
			lines[prefix] = line
		case unstable.Table:
			prefix = strings.Join(parts, ".")
			lines[prefix] = line
		case unstable.KeyValue:
			lines[joinKey(prefix, strings.Join(parts, "."))] = line
		}
	}
	return lines
}

func keyPath(parser *unstable.Parser, node *unstable.Node) ([]string, int) {
	var parts []string
	line := 0
	it := node.Key()
	for it.Next() {
		key := it.Node()
		if line == 0 {
			line = parser.Shape(key.Raw).Start.Line
		}
		parts = append(parts, string(key.Data))
	}
	return parts, line
}

// arrayPath returns the path of a new element of an array of tables. In arrays
// before the last part, it selects the last element so far.
func arrayPath(counts map[string]int, parts []string) string {
	path := ""
	for i, part := range parts {
		path = joinKey(path, part)
		if i == len(parts)-1 {
			counts[path]++
		}
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
