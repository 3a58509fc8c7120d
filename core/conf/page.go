package conf

import (
	"fmt"
	"strings"
)

// Markdown returns the table as a section of a Markdown document.
func Markdown(title string, t *Table) string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n| key | type | default | bounds | meaning |\n|---|---|---|---|---|\n", title)
	for _, r := range t.rows {
		def := "`" + r.Default + "`"
		if r.Required {
			def = "required"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", r.Key, r.Type, def, r.Bounds, r.Help)
	}
	return b.String()
}

// Sample returns a sample settings file that lists every setting with its
// description and has the optional ones commented out.
func Sample(t *Table) string {
	var b strings.Builder
	section := ""
	for _, r := range t.rows {
		key := r.Key
		if table, rest, ok := strings.Cut(r.Key, "."); ok {
			if table != section {
				fmt.Fprintf(&b, "\n[%s]\n", table)
				section = table
			}
			key = rest
		}
		fmt.Fprintf(&b, "# %s", r.Help)
		if r.Bounds != "" {
			fmt.Fprintf(&b, " (%s)", r.Bounds)
		}
		b.WriteByte('\n')
		if r.Required {
			fmt.Fprintf(&b, "%s = # required: %s\n", key, r.Type)
			continue
		}
		fmt.Fprintf(&b, "# %s = %s\n", key, r.Default)
	}
	return b.String()
}

// ReplaceSection replaces the section with the given title in a Markdown document
// by the section of the table, or appends it if there is none.
func ReplaceSection(document, title string, t *Table) string {
	page := Markdown(title, t)
	start := strings.Index(document, "## "+title+"\n")
	if start < 0 {
		return strings.TrimRight(document, "\n") + "\n\n" + page
	}
	rest := document[start:]
	if next := strings.Index(rest[1:], "\n## "); next >= 0 {
		return document[:start] + page + rest[next+1:]
	}
	return document[:start] + page
}
