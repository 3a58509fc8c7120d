// Command control runs a control replica.
package main

import (
	"os"

	"github.com/galenalock/galenalock/control/daemon"
	"github.com/galenalock/galenalock/core/prog"
)

func main() {
	os.Exit(prog.Program{
		Name:        "control",
		Description: "control replica of a galenalock fleet",
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
	// A second signal ends the process at once, without losing acknowledged
	// changes.
	return prog.Daemon{Run: d.Run, Reload: d.ReloadFile}, nil
}
