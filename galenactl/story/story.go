// Package story selects the log lines that explain one request, target or
// instance.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// contextWindow is the time before a request whose log lines about the
	// targets can explain why these were chosen.
	contextWindow = 15 * time.Second
	// maxLineSize is the maximum size of a log line in bytes. Read skips longer
	// ones.
	maxLineSize = 1 << 20
)

// Line is one parsed log line.
type Line struct {
	Time     time.Time
	Instance string
	Event    string
	Fields   map[string]any
}

// Read returns the lines that hold a JSON object with an event, sorted by time.
// It skips other lines and text before the object, such as the prefix of a
// process supervisor.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	reader := bufio.NewReaderSize(r, maxLineSize)
	for {
		text, long, err := readLine(reader)
		if line, ok := parseLine(text); ok && !long {
			out = append(out, line)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return out, eris.Wrap(err, "read log lines")
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out, nil
}

// readLine reads up to the end of a line. If the line is longer than the buffer
// of the reader, it returns only the last part of it and reports long.
func readLine(r *bufio.Reader) (text []byte, long bool, err error) {
	for {
		text, err = r.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return text, long, err
		}
		long = true
	}
}

// parseLine parses the JSON object in a line and reports whether it has an event.
func parseLine(text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[at:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields, Instance: formatValue(fields["instance"]), Event: formatValue(fields["event"])}
	if t, err := time.Parse(time.RFC3339Nano, formatValue(fields["time"])); err == nil {
		line.Time = t
	}
	return line, line.Event != ""
}

// Select returns the lines about the request with this identifier, with those
// about its targets from contextWindow before its first line to its last. If no
// request has the identifier, it returns all lines about that target or instance.
func Select(lines []Line, id string) []Line {
	var selected []Line
	targets := map[string]bool{}
	for _, l := range lines {
		if formatValue(l.Fields["request"]) == id {
			selected = append(selected, l)
			targets[formatValue(l.Fields["target"])] = true
		}
	}
	if len(selected) == 0 {
		return linesAbout(lines, id)
	}
	delete(targets, "")
	first, last := selected[0].Time.Add(-contextWindow), selected[len(selected)-1].Time
	for _, l := range lines {
		if formatValue(l.Fields["request"]) == "" && targets[formatValue(l.Fields["target"])] && !l.Time.Before(first) && !l.Time.After(last) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return selected
}

// linesAbout returns the lines that an instance wrote, or that have it as peer or
// target.
func linesAbout(lines []Line, id string) []Line {
	var out []Line
	for _, l := range lines {
		if l.Instance == id || formatValue(l.Fields["target"]) == id || formatValue(l.Fields["peer"]) == id {
			out = append(out, l)
		}
	}
	return out
}

// String formats the line as time, instance and event, and the other fields
// sorted by name. It omits the level, region and data centre.
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
		if value := formatValue(l.Fields[name]); value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	return b.String()
}

// formatValue formats the value of a field.
func formatValue(value any) string {
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
