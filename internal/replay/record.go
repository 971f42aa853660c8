// Package replay replays a trace against a running fleet. It sends the traffic,
// injects the faults, commits the changes and judges the outcomes of the trace.
package replay

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// TurnRecord is the result of one turn of a chat.
type TurnRecord struct {
	ID        string
	Workspace string
	Chat      string
	// At is the time at which the turn was sent, since the start of the replay.
	At time.Duration
	// Upstream is the engine that sent the answer.
	Upstream string
	// Returning is set if the turn continues a chat.
	Returning bool
	// Whole is set if the caller received the expected answer completely.
	Whole bool
	// Refused is set if the fleet refused the turn. Failure holds the reason.
	Refused bool
	// Failure says why there is no answer. It is empty if there is one.
	Failure string
	// Wrong is set if the answer was reported as complete, but differs from the
	// expected one.
	Wrong bool
	// PrefixTokens is the length of the chat before this turn. CachedTokens is the
	// number of prompt tokens that came from a cache.
	PrefixTokens, CachedTokens  int
	Attempts, Resumes, Restarts int
	// Lost counts the caller's connections that failed or stalled.
	Lost                int
	FirstToken, Latency time.Duration
}

// CallRecord is the result of one service call. An action that is sent twice has two
// records.
type CallRecord struct {
	ID string
	// ActionKey is empty if the call is not an action.
	ActionKey string
	// Outcome is the last outcome reported to the caller.
	Outcome refusal.Outcome
	// Status is the service's response status, or zero without a response.
	Status   int
	Failure  string
	Attempts int
	// Lost counts the caller's connections that failed or stalled.
	Lost    int
	Latency time.Duration
}

// ChangeRecord is the result of one change of the trace.
type ChangeRecord struct {
	ID       string
	Revision uint64
	// At is the time at which the commit ended, since the start of the replay.
	At      time.Duration
	Failure string
}

// Execution holds the number of executions of one action over all instances.
type Execution struct {
	ActionKey string
	Count     int64
}

// Sample is the state of the fleet at one time.
type Sample struct {
	// At is the time since the start of the replay.
	At      time.Duration
	Engines []EngineSample
	Daemons []DaemonSample
}

// EngineSample is the state of one engine that responded.
type EngineSample struct {
	Name string
	Pool string
	// Live is set if at least one daemon sends new requests to the engine.
	Live bool
	// InFlight is the number of running and waiting requests.
	InFlight int
	// Accepted counts the chat requests that the engine has accepted since its
	// start. Requests that it refused because it was leaving are not included.
	Accepted int64
	// PromptTokens and CachedTokens are totals since the engine's start.
	PromptTokens, CachedTokens int64
}

// DaemonSample is the state of one daemon that responded.
type DaemonSample struct {
	Name     string
	Revision uint64
	// Live lists the upstreams to which the daemon sends new requests.
	Live []string
	// ControlBytes and BrokenStreams are totals since the daemon's start.
	ControlBytes  float64
	BrokenStreams float64
}

// Record holds the results and observations of a replay.
type Record struct {
	Trace      *trace.Trace
	Turns      []TurnRecord
	Calls      []CallRecord
	Changes    []ChangeRecord
	Executions []Execution
	// ExecutionsMissing lists the instances whose executions couldn't be read.
	ExecutionsMissing []string
	Samples           []Sample
	Faults            []FaultRecord
}

// FaultRecord is the result of injecting one fault.
type FaultRecord struct {
	At      time.Duration
	Target  string
	Action  trace.FaultAction
	Failure string
}
