package daemon

import (
	"sync"

	"github.com/rotisserie/eris"
)

// tasks runs named goroutines and stops all of them when one fails.
type tasks struct {
	stop  func()
	group sync.WaitGroup
	mu    sync.Mutex
	err   error
}

func newTasks(stop func()) *tasks { return &tasks{stop: stop} }

func (t *tasks) start(name string, run func() error) {
	t.group.Go(func() {
		err := run()
		if err == nil {
			return
		}
		t.mu.Lock()
		if t.err == nil {
			t.err = eris.Wrap(err, name)
		}
		t.mu.Unlock()
		t.stop()
	})
}

func (t *tasks) wait() error {
	t.group.Wait()
	return t.err
}
