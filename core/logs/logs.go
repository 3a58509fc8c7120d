package logs

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Names of the log fields that all processes use.
const (
	FieldInstance   = "instance"
	FieldRegion     = "region"
	FieldDataCentre = "datacentre"
	FieldRequest    = "request"
	FieldError      = "error"
)

// New returns a logger that writes one JSON object per line. The message of a
// line is a stable event name; details belong in fields.
func New(out io.Writer, level string, fields map[string]string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "parse log level %q", level)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyTime: "time",
			logrus.FieldKeyMsg:  "event",
		},
	})
	entry := logrus.NewEntry(logger)
	for name, value := range fields {
		entry = entry.WithField(name, value)
	}
	return entry, nil
}
