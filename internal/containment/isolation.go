package containment

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// StartResult says whether an upstream may run a request now.
type StartResult int

// Results of Start.
const (
	// Started: the request may run.
	Started StartResult = iota
	// BusyOther: the upstream runs another suspect; try the next upstream.
	BusyOther
	// BusySame: the upstream runs a request with the same fingerprint. Wait at its
	// owner for its end, and don't try another upstream. If the upstream crashes,
	// the waiting request is held until HoldUntil like the running one.
	BusySame
	// StartRefused: the request is refused; see Check.
	StartRefused
)

// Start is called by an upstream's owner before it sends a request to the upstream.
// An upstream runs one suspect at a time, next to requests that are not suspects. The
// trial, if there is one, must be sent to the other daemons.
func (c *Containment) Start(now time.Time, upstream string, request Request) (StartResult, *peerpb.Trial) {
	verdict := c.Check(now, request)
	switch verdict.Kind {
	case Refused:
		return StartRefused, nil
	case Allowed:
		return Started, nil
	}
	running, busy := c.running[upstream]
	switch {
	case busy && running == request.Fingerprint:
		return BusySame, nil
	case busy:
		return BusyOther, nil
	}
	c.running[upstream] = request.Fingerprint
	return Started, c.BeginProbe(now, verdict)
}

// Stop is called when a started request has ended other than by a crash. The upstream
// may then run the next suspect.
func (c *Containment) Stop(upstream string, fingerprint uint64) {
	if running, busy := c.running[upstream]; busy && running == fingerprint {
		delete(c.running, upstream)
	}
}

// HoldUntil returns the earliest time at which a request may be answered or retried
// whose upstream crashed at the given time.
func (c *Containment) HoldUntil(crashed time.Time) time.Time {
	return crashed.Add(c.settings.SpreadTime.Std())
}
