package daemon_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that a stopped replica leaves behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
