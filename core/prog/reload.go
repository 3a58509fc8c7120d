package prog

import (
	"bytes"
	"context"
	"os"
	"time"
)

// watchEvery is how often the settings file is looked at.
const watchEvery = time.Second

// watch reloads the settings on SIGHUP and when the content of the file has
// changed, until ctx ends.
func (p Program) watch(ctx context.Context, file string, hangups <-chan os.Signal, reload func(file string) error) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	w := watched{}
	w.changed(file)
	for {
		hangup := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			hangup = true
		case <-ticker.C:
		}
		if changed := w.changed(file); reload == nil || !changed && !hangup {
			continue
		}
		if err := reload(file); err != nil {
			p.fail(ExitSettings, err)
		}
	}
}

// watched is what is known of a file. A file that cannot be read, as while it is
// being replaced, counts as unchanged.
type watched struct {
	size     int64
	modified time.Time
	content  []byte
}

func (w *watched) changed(file string) bool {
	info, err := os.Stat(file)
	if err != nil || info.Size() == w.size && info.ModTime().Equal(w.modified) {
		return false
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	w.size, w.modified = info.Size(), info.ModTime()
	if bytes.Equal(content, w.content) {
		return false
	}
	w.content = content
	return true
}
