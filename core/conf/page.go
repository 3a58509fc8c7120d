package conf

import (
	"fmt"
	"strings"
)

// Page returns the table as a section of a Markdown page.
func Page(title string, t *Table) string {
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

// Sample returns the table as a commented settings file.
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

// Section puts the page of a table into a document that holds pages of several
// tables, in place of the one with the same title or else at the end.
func Section(document, title string, t *Table) string {
	page := Page(title, t)
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
