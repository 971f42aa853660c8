package replay

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// departure is an engine that left or was drained, with the time at which this began.
type departure struct {
	engine string
	at     time.Duration
}

// departures returns the engines that left or were drained, without those for which
// the fault or the commit failed.
func departures(r *Record) []departure {
	var out []departure
	for _, f := range r.Faults {
		leaves := f.Action == trace.ActionShutdown || f.Action == trace.ActionLeave
		if leaves && f.Failure == "" {
			out = append(out, departure{f.Target, f.At})
		}
	}
	for i, c := range r.Changes {
		if planned := r.Trace.Changes[i]; planned.Drain && c.Failure == "" {
			out = append(out, departure{planned.Upstream, c.At})
		}
	}
	return out
}

// measureNewWorkOfLeaving returns the number of requests that leaving engines
// accepted between the end of LeavingGrace and the last sample.
func measureNewWorkOfLeaving(r *Record) (float64, string) {
	leaving := departures(r)
	if len(leaving) == 0 {
		return 0, "no engine left or was drained"
	}
	total := 0.0
	for _, d := range leaving {
		total += float64(acceptedAfter(r.Samples, d.engine, d.at+trace.LeavingGrace))
	}
	return total, ""
}

// acceptedAfter returns the increase of an engine's accepted requests over the
// samples from the given time on. It is zero for an engine that has exited by then.
func acceptedAfter(samples []Sample, engine string, at time.Duration) int64 {
	first, last, seen := int64(0), int64(0), false
	for _, sample := range samples {
		accepted, ok := sample.accepted(engine)
		if sample.At < at || !ok {
			continue
		}
		if !seen {
			first, seen = accepted, true
		}
		last = accepted
	}
	return last - first
}

func (s Sample) accepted(engine string) (int64, bool) {
	for _, e := range s.Engines {
		if e.Name == engine {
			return e.Accepted, true
		}
	}
	return 0, false
}

// measureBrokenStreams returns the sum, over all daemons, of the highest count in any
// sample.
func measureBrokenStreams(r *Record) float64 {
	highest := make(map[string]float64)
	for _, sample := range r.Samples {
		for _, d := range sample.Daemons {
			highest[d.Name] = max(highest[d.Name], d.BrokenStreams)
		}
	}
	total := 0.0
	for _, count := range highest {
		total += count
	}
	return total
}
