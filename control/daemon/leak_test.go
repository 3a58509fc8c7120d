package daemon_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that are left after a replica has stopped.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
