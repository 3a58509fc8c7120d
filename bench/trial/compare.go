package trial

import (
	"errors"
	"sync"
	"time"
)

// Compare plays a scene with both variants from the same seeds, several at
// once. Workers bounds the runs at a time.
func Compare(scene Scene, seed uint64, runs, workers int) (Case, error) {
	began := time.Now()
	results := [2][]Result{make([]Result, runs), make([]Result, runs)}
	errs := make([]error, 2*runs)
	jobs := make(chan int)
	var work sync.WaitGroup
	for range max(1, workers) {
		work.Go(func() {
			for j := range jobs {
				results[j%2][j/2], errs[j] = Run(scene, seed+uint64(j/2), j%2 == 0)
			}
		})
	}
	for j := range 2 * runs {
		jobs <- j
	}
	close(jobs)
	work.Wait()
	if err := errors.Join(errs...); err != nil {
		return Case{}, err
	}
	return Case{
		Case: scene.Name, User: scene.User, Policy: string(scene.Policy),
		Seconds: scene.Length.Seconds(), Rate: scene.Rate(),
		Naive: summarize(results[0]), Real: summarize(results[1]), Took: time.Since(began),
	}, nil
}
