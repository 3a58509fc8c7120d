package meter

import (
	"fmt"
	"strings"
)

// MarkdownTable returns the metrics as a Markdown table.
func MarkdownTable() string {
	var b strings.Builder
	b.WriteString("| metric | kind | unit | attribute | meaning |\n|---|---|---|---|---|\n")
	for _, m := range Metrics() {
		name := "galenalock_" + string(m.Name)
		switch {
		case m.Kind == "counter" && m.Unit == "By":
			name += "_bytes_total"
		case m.Unit == "By":
			name += "_bytes"
		case m.Kind == "counter":
			name += "_total"
		case m.Kind == "histogram" || m.Unit == "s":
			name += "_seconds"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", name, m.Kind, m.Unit, m.Attribute, m.Help)
	}
	return b.String()
}
