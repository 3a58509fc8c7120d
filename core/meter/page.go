package meter

import (
	"fmt"
	"strings"
)

// Page returns the table of metrics as Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString("| metric | kind | unit | attribute | meaning |\n|---|---|---|---|---|\n")
	for _, r := range Rows() {
		name := "galenalock_" + string(r.Name)
		switch {
		case r.Kind == "counter" && r.Unit == "By":
			name += "_bytes_total"
		case r.Kind == "counter":
			name += "_total"
		case r.Kind == "histogram":
			name += "_seconds"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", name, r.Kind, r.Unit, r.Attribute, r.Help)
	}
	return b.String()
}
