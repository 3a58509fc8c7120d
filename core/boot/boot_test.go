package boot_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/boot"
)

// Guards against a clock that is unavailable or goes back.
func TestNow(t *testing.T) {
	is := is.New(t)
	first := boot.Now()
	is.True(first > 0)
	is.True(boot.Now() >= first)
}
