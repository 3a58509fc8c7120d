package prog

import (
	"bytes"
	"context"
	"os"
	"time"
)

// pollInterval is the interval at which the settings file is checked for changes.
const pollInterval = time.Second

// watchSettings reloads the settings on SIGHUP and when the content of the file
// has changed, until ctx ends.
func (p Program) watchSettings(ctx context.Context, file string, hangups <-chan os.Signal, reload func(file string) error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	s := fileState{}
	s.update(file)
	for {
		hangup := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			hangup = true
		case <-ticker.C:
		}
		if changed := s.update(file); reload == nil || !changed && !hangup {
			continue
		}
		if err := reload(file); err != nil {
			p.fail(ExitSettings, err)
		}
	}
}

// fileState is the last known state of a file. A file that cannot be read, for
// example while it is being replaced, counts as unchanged.
type fileState struct {
	size     int64
	modified time.Time
	content  []byte
}

func (s *fileState) update(file string) bool {
	info, err := os.Stat(file)
	if err != nil || info.Size() == s.size && info.ModTime().Equal(s.modified) {
		return false
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	s.size, s.modified = info.Size(), info.ModTime()
	if bytes.Equal(content, s.content) {
		return false
	}
	s.content = content
	return true
}
