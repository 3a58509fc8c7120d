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
