package procs

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/stub"
)

// StartTargetWith starts a stub target with the given settings, which it passes
// in a file.
func (f *Fleet) StartTargetWith(name string, settings stub.Settings) (*Process, error) {
	data, err := toml.Marshal(settings)
	if err != nil {
		return nil, eris.Wrap(err, "encode settings of target")
	}
	file := filepath.Join(f.Folder, name+".toml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings of target")
	}
	return Start(fmt.Sprintf("target %s", name), f.Programs["bench"], "target", "--settings", file)
}
