package procs

import (
	"os/exec"
	"path/filepath"
	"runtime"

	"github.com/rotisserie/eris"
)

// Programs are the paths of the built programs by name.
type Programs map[string]string

// Build builds the named programs, such as "entry", into a folder. It finds
// their sources by its own place in the workspace.
func Build(folder string, names ...string) (Programs, error) {
	_, file, _, ok := runtime.Caller(0)
	if !ok {
		return nil, eris.New("build: the place of the sources is unknown")
	}
	root := filepath.Join(filepath.Dir(file), "..", "..")
	out := Programs{}
	for _, name := range names {
		path := filepath.Join(folder, name)
		build := exec.Command("go", "build", "-o", path, "./"+name)
		build.Dir = root
		if output, err := build.CombinedOutput(); err != nil {
			return nil, eris.Wrapf(err, "build %s: %s", name, output)
		}
		out[name] = path
	}
	return out, nil
}
