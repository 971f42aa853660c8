package containment

import "time"

// StartResult says whether an upstream may run a request now.
type StartResult int

// Results of Start.
const (
	// Started: run the request.
	Started StartResult = iota
	// BusyOther: the upstream runs another suspect; try the next upstream.
	BusyOther
	// BusySame: the upstream runs the same request; wait at its owner for the
	// end, and don't try another upstream. At a crash the waiting request is
	// held like the running one.
	BusySame
	// StartRefused: see Check.
	StartRefused
)

// Start is called by an upstream's owner before it sends a request there. An
// upstream runs one suspect at a time, beside requests that are none.
func (c *Containment) Start(now time.Time, upstream string, fingerprint uint64) StartResult {
	switch c.Check(now, fingerprint).Kind {
	case Refused:
		return StartRefused
	case Allowed:
		return Started
	}
	running, busy := c.running[upstream]
	switch {
	case busy && running == fingerprint:
		return BusySame
	case busy:
		return BusyOther
	}
	c.running[upstream] = fingerprint
	return Started
}

// Stop is called when a started request has ended in any way but a crash. It
// makes room for the next suspect.
func (c *Containment) Stop(upstream string, fingerprint uint64) {
	if running, busy := c.running[upstream]; busy && running == fingerprint {
		delete(c.running, upstream)
	}
}

// HoldUntil returns the earliest time to answer or retry a request whose
// upstream crashed at a given time.
func (c *Containment) HoldUntil(crashed time.Time) time.Time {
	return crashed.Add(c.settings.SpreadTime.Std())
}
