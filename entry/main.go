// Command entry runs an entry: the proxy between callers and targets.
package main

import (
	"os"

	"github.com/galenalock/galenalock/core/prog"
	"github.com/galenalock/galenalock/entry/daemon"
)

func main() {
	os.Exit(prog.Program{
		Name:        "entry",
		Description: "entry of a galenalock fleet: the proxy between callers and targets",
		Open:        open,
	}.Main(os.Args[1:]))
}

func open(file string) (prog.Daemon, error) {
	settings, err := daemon.Load(file)
	if err != nil {
		return prog.Daemon{}, err
	}
	d, err := daemon.New(settings)
	if err != nil {
		return prog.Daemon{}, err
	}
	return prog.Daemon{Run: d.Run, ForceStop: d.SkipDrain, Reload: d.ReloadFile}, nil
}
