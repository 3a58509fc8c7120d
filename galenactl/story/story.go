// Package story picks the log lines that explain one request or target.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// before is how long before a request the lines about its targets still
	// explain the choice of them.
	before = 15 * time.Second
	// longest is the size of a log line in bytes; longer ones are passed over.
	longest = 1 << 20
)

// Line is one log line.
type Line struct {
	Time     time.Time
	Instance string
	Event    string
	Fields   map[string]any
}

// Read returns the lines that are JSON objects with an event; text before the
// object, as a supervisor adds it, is passed over.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longest)
	for scanner.Scan() {
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(scanner.Bytes()[at:], &fields) != nil {
			continue
		}
		line := Line{Fields: fields, Instance: text(fields["instance"]), Event: text(fields["event"])}
		if t, err := time.Parse(time.RFC3339Nano, text(fields["time"])); err == nil {
			line.Time = t
		}
		if line.Event != "" {
			out = append(out, line)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out, eris.Wrap(scanner.Err(), "read log")
}

// Of returns the lines about a request, with what was known of its targets
// before, or all lines about a target or an instance.
func Of(lines []Line, id string) []Line {
	var own []Line
	targets := map[string]bool{}
	for _, l := range lines {
		if text(l.Fields["request"]) == id {
			own = append(own, l)
			targets[text(l.Fields["target"])] = true
		}
	}
	if len(own) == 0 {
		return about(lines, id)
	}
	delete(targets, "")
	first, last := own[0].Time.Add(-before), own[len(own)-1].Time
	for _, l := range lines {
		if text(l.Fields["request"]) == "" && targets[text(l.Fields["target"])] && !l.Time.Before(first) && !l.Time.After(last) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return own
}

// about returns the lines of an instance or about a target.
func about(lines []Line, id string) []Line {
	var out []Line
	for _, l := range lines {
		if l.Instance == id || text(l.Fields["target"]) == id || text(l.Fields["peer"]) == id {
			out = append(out, l)
		}
	}
	return out
}

// String writes the line for people: time, instance, event, and the other
// fields by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.UTC().Format("15:04:05.000"), l.Instance, l.Event)
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !slices.Contains([]string{"time", "instance", "event", "level", "region", "datacentre"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if value := text(l.Fields[name]); value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	return b.String()
}

// text writes the value of a field.
func text(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		return fmt.Sprintf("%.4g", v)
	}
	return fmt.Sprint(value)
}
