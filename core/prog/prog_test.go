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

// Guards against exit codes that a supervisor would take for another cause,
// and against a second signal that kills requests without a word.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	var errs bytes.Buffer
	p := prog.Program{Name: "entry", Errors: &errs}
	p.Open = func(file string) (prog.Daemon, error) {
		return prog.Daemon{}, &conf.Error{File: file, Key: "peer", Reason: "is missing"}
	}
	is.Equal(p.Main([]string{"--settings", "x.toml"}), prog.ExitSettings)
	is.Equal(errs.String(), "x.toml: peer: is missing\n")

	p.Open = func(string) (prog.Daemon, error) {
		return prog.Daemon{Run: func(context.Context) error { return errors.New("disk") }}, nil
	}
	is.Equal(p.Main(nil), prog.ExitFailed)

	hurried := make(chan struct{})
	p.Open = func(string) (prog.Daemon, error) {
		return prog.Daemon{
			Hurry: func() { close(hurried) },
			Run: func(ctx context.Context) error {
				is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
				<-ctx.Done()
				is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
				<-hurried
				return nil
			},
		}, nil
	}
	is.Equal(p.Main(nil), prog.ExitDone)
}

// Guards against a hangup or a second signal to stop that ends a program while
// it finishes what is in flight, and against settings that are not read again.
func TestSignalsWhileStopping(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "x.toml")
	is.NoErr(os.WriteFile(file, []byte("a = 1"), 0o600))
	reloads := make(chan string, 4)
	p := prog.Program{Name: "entry", Errors: io.Discard}
	p.Open = func(string) (prog.Daemon, error) {
		return prog.Daemon{
			Hurry:  prog.Patient,
			Reload: func(file string) error { reloads <- file; return nil },
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
	is.Equal(p.Main([]string{"--settings", file}), prog.ExitDone)
}
