package procs

import (
	"os/exec"
	"path/filepath"
	"runtime"

	"github.com/rotisserie/eris"
)

// Programs maps the name of a program to the path of its binary.
type Programs map[string]string

// Build compiles the named programs, such as "entry", into a folder. It locates
// their sources relative to this source file.
func Build(folder string, names ...string) (Programs, error) {
	_, file, _, ok := runtime.Caller(0)
	if !ok {
		return nil, eris.New("build: path of the source files is unknown")
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
