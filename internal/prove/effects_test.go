package prove

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/replay"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// effect is an observation that a fault took effect. A proof whose fault had no
// effect would pass without showing anything.
type effect struct {
	description string
	observed    func(f *testFleet, record *replay.Record) bool
}

// counterIncreased is the effect that a counter of a stand-in is above zero.
func counterIncreased(process, counter string) effect {
	return effect{process + " counts " + counter, func(f *testFleet, _ *replay.Record) bool {
		var state map[string]any
		if !getJSON(f.process(process).Address+standin.PathState, &state) {
			return false
		}
		value, ok := state[counter].(float64)
		return ok && value > 0
	}}
}

// brokenStreams is the effect that routers counted broken streams.
func brokenStreams() effect {
	return effect{"routers counted broken streams", func(_ *testFleet, record *replay.Record) bool {
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

// engineBusy is the effect that an engine had requests in flight in its last
// sample before a time.
func engineBusy(engine string, beforeMS int64) effect {
	return effect{engine + " had requests in flight", func(_ *testFleet, record *replay.Record) bool {
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

// unknownOutcomes is the effect that some caller got the outcome unknown for an
// action.
func unknownOutcomes() effect {
	return effect{"some caller got an unknown outcome", func(_ *testFleet, record *replay.Record) bool {
		for _, c := range record.Calls {
			if c.Outcome == refusal.Unknown {
				return true
			}
		}
		return false
	}}
}

// callersRetried is the effect that some caller made more than one attempt.
func callersRetried() effect {
	return effect{"some caller made more than one attempt", func(_ *testFleet, record *replay.Record) bool {
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

// slowCall is longer than any call takes without a fault.
const slowCall = 1200 * time.Millisecond

// slowCalls is the effect that some call took longer than slowCall because it
// waited for the end of a fault.
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
