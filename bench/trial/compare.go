package trial

import (
	"errors"
	"sync"
	"time"
)

// Compare simulates a scenario with both variants from the same seeds: seed,
// seed+1 and so on. At most workers simulations run concurrently.
func Compare(scenario Scenario, seed uint64, runs, workers int) (Comparison, error) {
	started := time.Now()
	results := [2][]Result{make([]Result, runs), make([]Result, runs)}
	errs := make([]error, 2*runs)
	jobs := make(chan int)
	var group sync.WaitGroup
	for range max(1, workers) {
		group.Go(func() {
			for j := range jobs {
				results[j%2][j/2], errs[j] = Run(scenario, seed+uint64(j/2), j%2 == 0)
			}
		})
	}
	for j := range 2 * runs {
		jobs <- j
	}
	close(jobs)
	group.Wait()
	if err := errors.Join(errs...); err != nil {
		return Comparison{}, err
	}
	return Comparison{
		ScenarioName: scenario.Name, User: scenario.User, Policy: string(scenario.Policy),
		Seconds: scenario.Length.Seconds(), Rate: scenario.Rate(),
		Naive: summarize(results[0]), Real: summarize(results[1]), Elapsed: time.Since(started),
	}, nil
}
