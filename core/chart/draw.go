package chart

import (
	"fmt"
	"strings"
)

// Mermaid returns the chart as a Mermaid state diagram. Transitions from one
// state to the same next state share an arrow.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.Start)
	for _, s := range c.States {
		var order []string
		labels := map[string][]string{}
		for _, t := range s.Transitions {
			if labels[t.Next] == nil {
				order = append(order, t.Next)
			}
			label := t.Event
			if len(t.Actions) > 0 {
				label += " / " + strings.Join(t.Actions, " ")
			}
			labels[t.Next] = append(labels[t.Next], label)
		}
		for _, next := range order {
			fmt.Fprintf(&b, "    %s --> %s: %s\n", s.Name, next, strings.Join(labels[next], ", "))
		}
		if s.Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", s.Name)
		}
	}
	return b.String()
}
