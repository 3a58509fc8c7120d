package load

import (
	"context"
	"fmt"
	"slices"
)

// Quantiles holds quantiles of latencies in milliseconds, each as median and worst
// value over the rounds.
type Quantiles struct {
	P50  Statistic `json:"p50"`
	P99  Statistic `json:"p99"`
	P999 Statistic `json:"p999"`
}

// Statistic summarizes the values of one measure over several rounds or runs.
type Statistic struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

// NewStatistic returns the median and the worst of the values. The worst is the
// smallest if higherIsBetter, else the largest.
func NewStatistic(values []float64, higherIsBetter bool) Statistic {
	if len(values) == 0 {
		return Statistic{}
	}
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	f := Statistic{Median: (sorted[(n-1)/2] + sorted[n/2]) / 2, Worst: sorted[n-1]}
	if higherIsBetter {
		f.Worst = sorted[0]
	}
	return f
}

// RunRounds runs the plans one after another in each round, so that with short
// rounds noise on the machine affects all plans equally. The plans should differ
// in address, host and prefix only. The seed changes with the round. The results
// are indexed by plan and round.
func RunRounds(ctx context.Context, plans []Plan, rounds int) ([][]*Result, error) {
	results := make([][]*Result, len(plans))
	for round := range rounds {
		for offset := range plans {
			i := (offset + round) % len(plans) // another plan comes first in each round
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

// LatencyQuantiles returns the quantiles of the latencies of a plan over its
// rounds.
func LatencyQuantiles(path []*Result) Quantiles {
	return overRounds(func(round int, share float64) float64 { return Milliseconds(path[round].Quantile(share)) }, len(path))
}

// AddedLatency returns the differences of the quantiles of two plans, direct and
// through a proxy, in the same rounds.
func AddedLatency(direct, through []*Result) Quantiles {
	return overRounds(func(round int, share float64) float64 {
		return Milliseconds(through[round].Quantile(share) - direct[round].Quantile(share))
	}, len(direct))
}

// overRounds returns quantiles from a function that returns one quantile of one
// round.
func overRounds(get func(round int, share float64) float64, rounds int) Quantiles {
	quantile := func(share float64) Statistic {
		values := make([]float64, rounds)
		for i := range values {
			values[i] = get(i, share)
		}
		return NewStatistic(values, false)
	}
	return Quantiles{P50: quantile(0.5), P99: quantile(0.99), P999: quantile(0.999)}
}

// TotalCounts returns the sums of the counts over all rounds of a plan.
func TotalCounts(path []*Result) map[Kind]Count {
	total := newResult()
	for _, r := range path {
		total.Merge(r)
	}
	return total.Counts
}
