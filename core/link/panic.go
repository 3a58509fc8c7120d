package link

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/wire"
)

// PanicError reports a handler that panicked. The panic is contained: a call is
// answered with a fault, a plain message closes its link.
type PanicError struct {
	Kind  wire.Kind // of the message
	Value any       // argument of the panic
	Stack []byte
}

// Error returns the kind of the message and the argument of the panic.
func (e *PanicError) Error() string {
	return fmt.Sprintf("handler of %s panicked: %v", e.Kind, e.Value)
}

// LogPanics returns a function for WithPanicHook that logs each panic with its
// stack.
func LogPanics(log *logrus.Entry) func(*PanicError) {
	return func(err *PanicError) {
		log.WithField(logs.FieldError, err.Error()).WithField("stack", string(err.Stack)).Error("message handler panicked")
	}
}
