package load

import (
	"context"
	"fmt"
)

// Comparison is the added latency of one path against another in one run.
// Times are in milliseconds.
type Comparison struct {
	Direct  Summary            `json:"direct"`
	Through Summary            `json:"through"`
	Added   map[string]float64 `json:"added"` // through minus direct, by quantile
}

// Compare runs two plans in turn, in short rounds, so that noise of the machine
// hits both alike. The plans differ in address, host and prefix; each round has
// its own seed, which both share.
func Compare(ctx context.Context, direct, through Plan, rounds int) (*Comparison, error) {
	plans := [2]Plan{direct, through}
	results := [2]*Result{newResult(), newResult()}
	for round := range rounds {
		for turn := range plans {
			i := (turn + round) % len(plans) // neither is always first
			plan := plans[i]
			plan.Seed += uint64(round)
			plan.Label = fmt.Sprintf("%s-%d", plan.Label, i)
			result, err := Run(ctx, plan)
			if err != nil {
				return nil, err
			}
			results[i].Merge(result)
		}
	}
	c := &Comparison{Direct: results[0].Summary(), Through: results[1].Summary(), Added: map[string]float64{}}
	for name, share := range map[string]float64{"p50": 0.5, "p90": 0.9, "p99": 0.99, "p999": 0.999} {
		c.Added[name] = Milliseconds(results[1].Quantile(share) - results[0].Quantile(share))
	}
	return c, nil
}
