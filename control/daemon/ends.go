package daemon

import (
	"context"
	"time"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/state"
)

// earliestStart is the earliest start of an incarnation that the log accepts.
var earliestStart = time.UnixMilli(1).UTC()

// commitEnd commits the end of an incarnation. The log ignores the end of an incarnation
// that is not registered, and a delayed announcement would register it afterwards, so a
// placeholder for it is registered first.
func (r *registry) commitEnd(ctx context.Context, a enrol.Announcement) (enrol.Effect, error) {
	targets := r.daemon.parts.machine.view.Load().Targets
	known := targets.Find(a.Name)
	switch {
	case known != nil && (a.Start.IsZero() || !a.Start.After(known.Start)):
		// A row is never replaced by one of an earlier incarnation.
	case a.Start.IsZero():
		// This replica may lag. If the target is registered, the log refuses the earliest
		// incarnation as stale, and the end covers the registered one.
		effect, err := r.proposePlaceholder(ctx, a.Name, earliestStart)
		if err != nil {
			return "", err
		}
		if effect == enrol.Stale {
			break
		}
		if _, err := r.proposePlaceholder(ctx, a.Name, r.daemon.settings.Clock().UTC().Truncate(time.Millisecond)); err != nil {
			return "", err
		}
	case a.Start.Before(earliestStart):
		// No announcement with this start is accepted.
	default:
		if _, err := r.proposePlaceholder(ctx, a.Name, a.Start); err != nil {
			return "", err
		}
	}
	result, err := r.daemon.parts.relay.Propose(ctx, state.Command{Announce: &a})
	return result.Effect, err
}

func (r *registry) proposePlaceholder(ctx context.Context, name string, start time.Time) (enrol.Effect, error) {
	s := &r.daemon.settings
	placeholder := enrol.Placeholder(name, start, s.Region, s.DataCentre)
	result, err := r.daemon.parts.relay.Propose(ctx, state.Command{Announce: &placeholder})
	if err != nil {
		return "", err
	}
	r.daemon.parts.log.WithField("target", name).WithField("start", start.UnixMilli()).WithField("verdict", string(result.Effect)).
		Info("placeholder registered before the end of an unknown incarnation")
	return result.Effect, nil
}

// endPlaceholders commits the end of placeholders that were left because the replica
// which registered them failed before it committed the end.
func (r *registry) endPlaceholders(ctx context.Context, left []enrol.Incarnation) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	log := r.daemon.parts.log
	for _, i := range left {
		end := enrol.Announcement{Name: i.Name, Start: i.Start, State: enrol.Gone}
		if _, err := r.daemon.parts.relay.Propose(ctx, state.Command{Announce: &end}); err != nil {
			log.WithField("target", i.Name).WithField(logs.FieldError, err.Error()).Warn("placeholder not ended")
			return
		}
		log.WithField("target", i.Name).Info("placeholder ended")
	}
}

// splitPlaceholders separates placeholders from the silent targets. Placeholders are
// ended, not marked: a row that is only marked as silent would never be pruned.
func splitPlaceholders(targets enrol.View, silent []enrol.Incarnation) (others, left []enrol.Incarnation) {
	for _, i := range silent {
		if row := targets.Find(i.Name); row != nil && row.IsPlaceholder() {
			left = append(left, i)
			continue
		}
		others = append(others, i)
	}
	// A leader of an older build has marked placeholders as silent.
	for _, row := range targets.Rows() {
		if row.Live() && row.Silent && row.IsPlaceholder() {
			left = append(left, enrol.Incarnation{Name: row.Name, Start: row.Start, Seq: row.Seq})
		}
	}
	return others, left
}
