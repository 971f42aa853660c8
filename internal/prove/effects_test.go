package prove

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/replay"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// effect shows that a fault struck: a proof whose fault had none proves nothing.
type effect struct {
	what string
	seen func(f *testFleet, record *replay.Record) bool
}

// counted is the effect that a counter of a stand-in rose.
func counted(process, counter string) effect {
	return effect{process + " counts " + counter, func(f *testFleet, _ *replay.Record) bool {
		var state map[string]any
		if !getJSON(f.process(process).Address+standin.PathState, &state) {
			return false
		}
		value, ok := state[counter].(float64)
		return ok && value > 0
	}}
}

// streamsBroke is the effect that routers saw streams break off.
func streamsBroke() effect {
	return effect{"streams of engines broke off", func(_ *testFleet, record *replay.Record) bool {
		for _, sample := range record.Samples {
			for _, d := range sample.Daemons {
				if d.BrokenStreams > 0 {
					return true
				}
			}
		}
		return false
	}}
}

// inUse is the effect that an engine had requests in flight before a time.
func inUse(engine string, beforeMS int64) effect {
	return effect{engine + " was in use", func(_ *testFleet, record *replay.Record) bool {
		load := 0
		for _, sample := range record.Samples {
			for _, e := range sample.Engines {
				if e.Name == engine && sample.At.Milliseconds() < beforeMS {
					load = e.InFlight
				}
			}
		}
		return load > 0
	}}
}

// unknownOutcomes is the effect that callers were told an action's outcome
// isn't known.
func unknownOutcomes() effect {
	return effect{"some outcome is unknown", func(_ *testFleet, record *replay.Record) bool {
		for _, c := range record.Calls {
			if c.Outcome == refusal.Unknown {
				return true
			}
		}
		return false
	}}
}

// callersRetried is the effect that callers needed a further attempt.
func callersRetried() effect {
	return effect{"callers tried again", func(_ *testFleet, record *replay.Record) bool {
		for _, t := range record.Turns {
			if t.Attempts > 1 {
				return true
			}
		}
		for _, c := range record.Calls {
			if c.Attempts > 1 {
				return true
			}
		}
		return false
	}}
}

// slowCall is longer than any call without a fault.
const slowCall = 1200 * time.Millisecond

// slowCalls is the effect that some call waited for the end of a fault.
func slowCalls() effect {
	return effect{"some call took over " + slowCall.String(), func(_ *testFleet, record *replay.Record) bool {
		for _, c := range record.Calls {
			if c.Latency > slowCall {
				return true
			}
		}
		return false
	}}
}
