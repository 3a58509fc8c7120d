package procs

import (
	"os"
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
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	return buildIn(root, folder, names)
}

// BuildCommit is like Build for the sources of a commit of the repository that this
// source file belongs to. The sources are written to the folder as well.
func BuildCommit(folder, commit string, names ...string) (Programs, error) {
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	sources := filepath.Join(folder, "sources")
	if err := os.MkdirAll(sources, 0o700); err != nil {
		return nil, eris.Wrap(err, "create folder for sources")
	}
	archive := exec.Command("git", "archive", "--output", filepath.Join(folder, "sources.tar"), commit)
	archive.Dir = root
	if output, err := archive.CombinedOutput(); err != nil {
		return nil, eris.Wrapf(err, "export commit %s: %s", commit, output)
	}
	extract := exec.Command("tar", "-xf", filepath.Join(folder, "sources.tar"), "-C", sources, "--exclude=journal")
	if output, err := extract.CombinedOutput(); err != nil {
		return nil, eris.Wrapf(err, "extract commit %s: %s", commit, output)
	}
	return buildIn(sources, folder, names)
}

// repositoryRoot returns the root of the repository that this source file belongs to.
func repositoryRoot() (string, error) {
	_, file, _, ok := runtime.Caller(0)
	if !ok {
		return "", eris.New("build: path of the source files is unknown")
	}
	return filepath.Join(filepath.Dir(file), "..", ".."), nil
}

func buildIn(root, folder string, names []string) (Programs, error) {
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
