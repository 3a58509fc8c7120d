package prog_test

import (
	"bytes"
	"context"
	"errors"
	"os"
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
