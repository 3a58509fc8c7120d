package tokens

import (
	"sync"

	"github.com/galenalock/galenalock/core/bucket"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/wire"
)

// limits holds the limits of the newest service text.
type limits struct {
	mu        sync.Mutex
	parser    *spec.Parser // used by one call of parse at a time
	parsing   bool
	revision  uint64 // parsed last, also if its text has errors
	directory *bucket.Directory
}

// get returns the limits of the newest revision. While it is being parsed, which takes up
// to 0.1 s for a large text, those of the revision before apply.
func (l *limits) get(newest uint64, text func(number uint64) ([]byte, bool)) (*bucket.Directory, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revision != newest && !l.parsing {
		source, ok := text(newest)
		if ok && l.directory != nil {
			l.parsing = true
			go l.parse(newest, source)
		} else if ok {
			l.set(newest, l.directoryOf(source))
		}
	}
	if l.directory == nil {
		return nil, &wire.FaultError{Code: "notready", Detail: "no service text"}
	}
	return l.directory, nil
}

func (l *limits) parse(revision uint64, source []byte) {
	directory := l.directoryOf(source)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parsing = false
	l.set(revision, directory)
}

// set keeps the former limits if the text has errors.
func (l *limits) set(revision uint64, directory *bucket.Directory) {
	l.revision = revision
	if directory != nil {
		l.directory = directory
	}
}

// directoryOf returns nil if the text has errors.
func (l *limits) directoryOf(source []byte) *bucket.Directory {
	if l.parser == nil {
		l.parser = spec.NewParser()
	}
	parsed, err := l.parser.Parse(source)
	if err != nil {
		return nil
	}
	return bucket.DirectoryOf(parsed)
}
