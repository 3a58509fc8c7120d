package daemon

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/logs"
)

// connLog writes the faults of single connections, which any caller can cause,
// to the log at its lowest level.
type connLog struct{ log *logrus.Entry }

// Write logs one line.
func (l connLog) Write(line []byte) (int, error) {
	l.log.WithField(logs.FieldError, strings.TrimSpace(string(line))).Debug("connection")
	return len(line), nil
}
