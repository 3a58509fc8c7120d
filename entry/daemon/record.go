package daemon

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/entry/proxy"
)

// logRequest returns a hook that logs each request: the data that its routing was
// based on, and its outcome.
func logRequest(log *logrus.Entry) func(proxy.Summary) {
	return func(f proxy.Summary) {
		fields := logrus.Fields{
			logs.FieldRequest: f.Request.ID, "route": f.Route, "attempts": f.Attempts, "target": f.Target,
			"duration": f.Duration.Round(time.Millisecond).String(),
		}
		if f.Request.RelayedFrom != "" {
			fields["from"] = f.Request.RelayedFrom
		}
		if v := f.Request.View; v != nil {
			fields["revision"] = v.Revision
		}
		if f.Request.Service != nil {
			fields["service"] = f.Request.Service.Name
		}
		switch {
		case f.Refusal != nil:
			fields["outcome"], fields["reason"], fields["run"] = "refused", string(f.Refusal.Reason), string(f.Refusal.Run)
			if f.Refusal.RetryAfter > 0 {
				fields["retry"] = f.Refusal.RetryAfter.String()
			}
			if f.Refusal.Err != nil {
				fields[logs.FieldError] = f.Refusal.Err.Error()
			}
		case f.CallerGone:
			fields["outcome"] = "gone"
		case f.Status == 0:
			fields["outcome"] = "aborted"
		default:
			fields["outcome"], fields["status"] = "answered", f.Status
		}
		log.WithFields(fields).Info("request")
	}
}

// logAttempt returns a hook that calls end and logs the attempt, unless it is a
// first attempt that was answered.
func logAttempt(log *logrus.Entry, end func(proxy.Attempt, proxy.Outcome)) func(proxy.Attempt, proxy.Outcome) {
	return func(at proxy.Attempt, o proxy.Outcome) {
		end(at, o)
		if at.Number == 0 && o.Class == proxy.Answered && !at.Target.Relay {
			return
		}
		fields := logrus.Fields{
			logs.FieldRequest: at.Request.ID, "service": at.Request.Service.Name, "target": at.Target.String(),
			"attempt": at.Number, "class": string(o.Class), "left": at.Request.Deadline.Sub(at.Start).Round(time.Millisecond).String(),
			"took": o.End.Sub(at.Start).Round(time.Millisecond).String(), "reused": o.Reused,
		}
		if at.Target.Relay {
			fields["relay"] = true
		}
		if o.Status != 0 {
			fields["status"] = o.Status
		}
		if o.HasLoad {
			fields["running"], fields["waiting"] = o.Load.Running, o.Load.Waiting
		}
		if o.Pause > 0 {
			fields["pause"] = o.Pause.String()
		}
		if o.Leaving {
			fields["leaving"] = true
		}
		if o.Limit.Limited {
			fields["limit"] = o.Limit.Rate
		}
		if o.Err != nil {
			fields[logs.FieldError] = o.Err.Error()
		}
		log.WithFields(fields).Info("attempt")
	}
}
