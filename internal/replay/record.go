// Package replay drives a running fleet by a trace, brings about the trace's
// faults and changes, and judges the outcomes that the trace states.
package replay

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// TurnRecord is what became of one turn of a chat.
type TurnRecord struct {
	ID        string
	Workspace string
	Chat      string
	// At is the time of the turn from the start of the replay.
	At time.Duration
	// Upstream is the engine that the answer came from.
	Upstream string
	// Returning is set when the chat had a turn before.
	Returning bool
	// Whole is set when the caller got its own answer, all of it, in order.
	Whole bool
	// Refused is set when the fleet refused the turn, with Failure as reason.
	Refused bool
	// Failure says why there was no answer; empty for an answered turn.
	Failure string
	// Wrong is set when the caller was told that the answer is whole, and it
	// isn't its own or not all of it.
	Wrong bool
	// PrefixTokens is the length of the chat before this turn, and
	// CachedTokens the part of the prompt that came from a cache.
	PrefixTokens, CachedTokens  int
	Attempts, Resumes, Restarts int
	// Lost counts the caller's connections that broke or went silent.
	Lost                int
	FirstToken, Latency time.Duration
}

// CallRecord is what became of one sending of a service call.
type CallRecord struct {
	ID string
	// ActionKey is empty for idempotent calls.
	ActionKey string
	// Outcome is what the caller was told last.
	Outcome refusal.Outcome
	// Status is the service's own; zero without its answer.
	Status   int
	Failure  string
	Attempts int
	// Lost counts the caller's connections that broke or went silent.
	Lost    int
	Latency time.Duration
}

// ChangeRecord is one commit of an operator.
type ChangeRecord struct {
	ID       string
	Revision uint64
	// At is the time of the commit's answer from the start of the replay.
	At      time.Duration
	Failure string
}

// Execution is the number of executions of one action, by all instances.
type Execution struct {
	ActionKey string
	Count     int64
}

// Sample is the state of the fleet at one time.
type Sample struct {
	// At is the time from the start of the replay.
	At      time.Duration
	Engines []EngineSample
	Daemons []DaemonSample
}

// EngineSample is the load of one engine that answered.
type EngineSample struct {
	Name string
	Pool string
	// Live is set when a router sends the engine new work.
	Live bool
	// InFlight counts running and waiting requests.
	InFlight int
	// Accepted counts the chat requests since the engine's start, without
	// those that it refused as leaving.
	Accepted int64
	// PromptTokens and CachedTokens are totals since the engine's start.
	PromptTokens, CachedTokens int64
}

// DaemonSample is the state of one daemon that answered.
type DaemonSample struct {
	Name     string
	Revision uint64
	// Live are the upstreams that the daemon sends new work.
	Live []string
	// ControlBytes and BrokenStreams are totals since the daemon's start.
	ControlBytes  float64
	BrokenStreams float64
}

// Record is all that a replay has seen.
type Record struct {
	Trace      *trace.Trace
	Turns      []TurnRecord
	Calls      []CallRecord
	Changes    []ChangeRecord
	Executions []Execution
	// ExecutionsMissing names the instances that couldn't be asked.
	ExecutionsMissing []string
	Samples           []Sample
	Faults            []FaultRecord
}

// FaultRecord is one fault that was brought about, or not.
type FaultRecord struct {
	At      time.Duration
	Target  string
	Action  trace.FaultAction
	Failure string
}
