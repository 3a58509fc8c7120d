package daemon

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/logs"
)

// connLog logs errors of single connections at the debug level, since any client
// can cause them.
type connLog struct{ log *logrus.Entry }

// Write logs a line of the error log of net/http.
func (l connLog) Write(line []byte) (int, error) {
	l.log.WithField(logs.FieldError, strings.TrimSpace(string(line))).Debug("connection error")
	return len(line), nil
}
