package prog_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/conf"
	"github.com/galenalock/galenalock/core/prog"
)

// Guards against exit codes that a supervisor would attribute to another cause,
// and against a second signal that ends the process instead of the graceful wait.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	var stderr bytes.Buffer
	p := prog.Program{Name: "entry", ErrorOutput: &stderr}
	p.Open = func(file string) (prog.Daemon, error) {
		return prog.Daemon{}, &conf.Error{File: file, Key: "peer", Reason: "is missing"}
	}
	is.Equal(p.Main([]string{"--settings", "x.toml"}), prog.ExitSettings)
	is.Equal(stderr.String(), "x.toml: peer: is missing\n")

	p.Open = func(string) (prog.Daemon, error) {
		return prog.Daemon{Run: func(context.Context) error { return errors.New("disk") }}, nil
	}
	is.Equal(p.Main(nil), prog.ExitFailed)

	forced := make(chan struct{})
	p.Open = func(string) (prog.Daemon, error) {
		return prog.Daemon{
			ForceStop: func() { close(forced) },
			Run: func(ctx context.Context) error {
				is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
				<-ctx.Done()
				is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
				<-forced
				return nil
			},
		}, nil
	}
	is.Equal(p.Main(nil), prog.ExitOK)
}

// Guards against a SIGHUP or a repeated stop signal that ends a program during a
// graceful stop, and against a SIGHUP that does not reload the settings.
func TestSignalsWhileStopping(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "x.toml")
	is.NoErr(os.WriteFile(file, []byte("a = 1"), 0o600))
	reloads := make(chan string, 4)
	p := prog.Program{Name: "entry", ErrorOutput: io.Discard}
	p.Open = func(string) (prog.Daemon, error) {
		return prog.Daemon{
			ForceStop: prog.IgnoreRepeatedStop,
			Reload:    func(file string) error { reloads <- file; return nil },
			Run: func(ctx context.Context) error {
				is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
				is.Equal(<-reloads, file)
				is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
				<-ctx.Done()
				for range 3 {
					is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
					is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
				}
				return nil
			},
		}, nil
	}
	is.Equal(p.Main([]string{"--settings", file}), prog.ExitOK)
}
