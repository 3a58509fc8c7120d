package load

import (
	"context"
	"fmt"
	"slices"
)

// Quantiles are latencies of one kind in milliseconds, as median and worst over
// the rounds.
type Quantiles struct {
	P50  Figure `json:"p50"`
	P99  Figure `json:"p99"`
	P999 Figure `json:"p999"`
}

// Figure is one measure over several rounds or runs.
type Figure struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

// NewFigure sums up values, of which the largest is the worst unless high is
// good.
func NewFigure(values []float64, highIsGood bool) Figure {
	if len(values) == 0 {
		return Figure{}
	}
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	f := Figure{Median: (sorted[(n-1)/2] + sorted[n/2]) / 2, Worst: sorted[n-1]}
	if highIsGood {
		f.Worst = sorted[0]
	}
	return f
}

// Rounds runs plans in turn, in short rounds, so that noise of the machine hits
// all alike. The plans differ in address, host and prefix. Each round has its
// own seed, which all plans share. It returns the results by plan and round.
func Rounds(ctx context.Context, plans []Plan, rounds int) ([][]*Result, error) {
	results := make([][]*Result, len(plans))
	for round := range rounds {
		for turn := range plans {
			i := (turn + round) % len(plans) // none is always first
			plan := plans[i]
			plan.Seed += uint64(round)
			plan.Label = fmt.Sprintf("%s-%d", plan.Label, i)
			result, err := Run(ctx, plan)
			if err != nil {
				return nil, err
			}
			results[i] = append(results[i], result)
		}
	}
	return results, nil
}

// Spread returns the latencies of one path over its rounds.
func Spread(path []*Result) Quantiles {
	return spread(func(round int, share float64) float64 { return Milliseconds(path[round].Quantile(share)) }, len(path))
}

// Added returns the latencies of one path above those of another in the same
// rounds.
func Added(direct, through []*Result) Quantiles {
	return spread(func(round int, share float64) float64 {
		return Milliseconds(through[round].Quantile(share) - direct[round].Quantile(share))
	}, len(direct))
}

func spread(get func(round int, share float64) float64, rounds int) Quantiles {
	column := func(share float64) Figure {
		values := make([]float64, rounds)
		for i := range values {
			values[i] = get(i, share)
		}
		return NewFigure(values, false)
	}
	return Quantiles{P50: column(0.5), P99: column(0.99), P999: column(0.999)}
}

// Total returns the counts of all rounds of a path.
func Total(path []*Result) map[Kind]Count {
	sum := newResult()
	for _, r := range path {
		sum.Merge(r)
	}
	return sum.Counts
}
