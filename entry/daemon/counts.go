package daemon

import (
	"github.com/galenalock/galenalock/core/meter"
)

// counts are the metrics of an entry beside those of the data path.
type counts struct {
	verdicts *meter.Counter
	crossing *meter.Counter
	bytes    *meter.Counter
	cut      *meter.Counter
}

func newCounts(m *meter.Meter) (*counts, error) {
	c := &counts{}
	for _, one := range []struct {
		name meter.Name
		into **meter.Counter
	}{
		{meter.Verdicts, &c.verdicts}, {meter.Crossing, &c.crossing},
		{meter.LinkBytes, &c.bytes}, {meter.Cuts, &c.cut},
	} {
		counter, err := m.Counter(one.name)
		if err != nil {
			return nil, err
		}
		*one.into = counter
	}
	return c, nil
}

// verdict counts what the budget said to a further attempt. Allowed attempts
// are counted by reason.
func (c *counts) verdict(_, verdict string) { c.verdicts.Add(1, verdict) }

func (c *counts) crossed(sent, received int64) {
	c.crossing.Add(sent, "out")
	c.crossing.Add(received, "in")
}

func (c *counts) linked(direction string, bytes int) { c.bytes.Add(int64(bytes), direction) }
