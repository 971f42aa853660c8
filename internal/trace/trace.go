// Package trace reads, writes and generates traces. A trace describes a deployment,
// the traffic of its callers, the faults and changes that happen meanwhile, and
// the outcomes that a replay must reach.
//
// A trace file is in the JSON Lines format. Each line is one Record, whose Kind
// names the member that is set. The first record has the kind "settings". All times
// are in milliseconds since the start of the replay.
package trace

import "time"

// FormatVersion is the supported version of the file format.
const FormatVersion = 1

// Kind names the member of a Record that is set.
type Kind string

// Kinds of records.
const (
	KindSettings  Kind = "settings"
	KindWorkspace Kind = "workspace"
	KindSelector  Kind = "selector"
	KindTurn      Kind = "turn"
	KindCall      Kind = "call"
	KindChange    Kind = "change"
	KindFault     Kind = "fault"
	KindOutcome   Kind = "outcome"
)

// Record is one line of a trace file.
type Record struct {
	Kind      Kind       `json:"kind"`
	Settings  *Settings  `json:"settings,omitempty"`
	Workspace *Workspace `json:"workspace,omitempty"`
	Selector  *Selector  `json:"selector,omitempty"`
	Turn      *Turn      `json:"turn,omitempty"`
	Call      *Call      `json:"call,omitempty"`
	Change    *Change    `json:"change,omitempty"`
	Fault     *Fault     `json:"fault,omitempty"`
	Outcome   *Outcome   `json:"outcome,omitempty"`
}

// Trace is a complete trace. Turns, Calls, Changes and Faults are in time order.
type Trace struct {
	Settings   Settings
	Workspaces []Workspace
	Selectors  []Selector
	Turns      []Turn
	Calls      []Call
	Changes    []Change
	Faults     []Fault
	Outcomes   []Outcome
}

// Settings describe the deployment and hold the duration of the trace.
type Settings struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	// Seed is the seed from which the trace was generated. It also seeds the
	// callers of the replay.
	Seed uint64 `json:"seed"`
	// DurationMS is the time by which the last request arrives. Responses may end
	// later.
	DurationMS int64  `json:"duration_ms"`
	Region     string `json:"region"`
	// FailureDomains are the failure domains of the region. Hosts are spread over
	// them.
	FailureDomains []string `json:"failure_domains"`
	// DomainDelayUS is the one-way delay between failure domains, in
	// microseconds.
	DomainDelayUS int64 `json:"domain_delay_us"`
	// ClientDelayUS is the one-way delay between callers and the fleet, in
	// microseconds.
	ClientDelayUS int64     `json:"client_delay_us"`
	Routers       int       `json:"routers"`
	Directories   int       `json:"directories"`
	Engines       []Engine  `json:"engines"`
	Services      []Service `json:"services"`
	// KeyValueWritesPerS and KeyValueReadsPerS are the rate limits of the
	// platform's key-value service.
	KeyValueWritesPerS int `json:"key_value_writes_per_s"`
	KeyValueReadsPerS  int `json:"key_value_reads_per_s"`
	// HostListLagMS is the time after which the platform's host list shows a
	// change.
	HostListLagMS int64 `json:"host_list_lag_ms"`
}

// Duration returns DurationMS as a time.Duration.
func (s *Settings) Duration() time.Duration { return milliseconds(s.DurationMS) }

// Engine is one model engine.
type Engine struct {
	Name          string            `json:"name"`
	FailureDomain string            `json:"failure_domain"`
	Labels        map[string]string `json:"labels,omitempty"`
	Model         string            `json:"model"`
	// Slots is the maximum number of requests that run concurrently.
	Slots int `json:"slots"`
	// TokenMS is the interval between two tokens of a stream.
	TokenMS int64 `json:"token_ms"`
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int `json:"cache_tokens"`
}

// Service is one plain service with its instances.
type Service struct {
	Name            string            `json:"name"`
	Instances       []ServiceInstance `json:"instances"`
	IdempotentCalls []IdempotentCall  `json:"idempotent_calls,omitempty"`
}

// ServiceInstance is one running copy of a service.
type ServiceInstance struct {
	Name          string            `json:"name"`
	FailureDomain string            `json:"failure_domain"`
	Labels        map[string]string `json:"labels,omitempty"`
}

// IdempotentCall matches calls other than GET, HEAD and OPTIONS that may be retried.
type IdempotentCall struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// Workspace is one customer of the fleet.
type Workspace struct {
	Name     string            `json:"name"`
	Labels   map[string]string `json:"labels,omitempty"`
	Weight   int               `json:"weight"`
	Priority string            `json:"priority"`
}

// Selector allows the upstreams with the given labels to serve the workspaces with
// the given labels.
type Selector struct {
	Name       string            `json:"name"`
	Workspaces map[string]string `json:"workspaces"`
	Models     []string          `json:"models,omitempty"`
	Services   []string          `json:"services,omitempty"`
	Upstreams  map[string]string `json:"upstreams"`
}

// Turn is the arrival of one message of a chat. The turns of a chat are sent in
// order: a turn waits until the one before it has ended.
type Turn struct {
	AtMS      int64  `json:"at_ms"`
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Chat      string `json:"chat"`
	// Turn is the index of the turn within the chat, from zero.
	Turn  int    `json:"turn"`
	Model string `json:"model"`
	// PauseMS is the time since the previous turn of the chat.
	PauseMS int64 `json:"pause_ms,omitempty"`
	// PrefixWords is the length of the messages and answers of the previous turns,
	// as recorded. The replay sends the answers that it received itself.
	PrefixWords int `json:"prefix_words"`
	// NewWords is the length of the message of this turn.
	NewWords int `json:"new_words"`
	// MaxTokens is the length of the answer.
	MaxTokens int    `json:"max_tokens"`
	Priority  string `json:"priority,omitempty"`
	TimeoutMS int64  `json:"timeout_ms"`
}

// At returns the time of arrival since the start of the replay.
func (t *Turn) At() time.Duration { return milliseconds(t.AtMS) }

// Call is one call to a plain service.
type Call struct {
	AtMS      int64  `json:"at_ms"`
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body,omitempty"`
	// Action marks a call that must run at most once. It is sent with an action
	// key.
	Action bool `json:"action,omitempty"`
	// ResendAfterMS is the time after which the caller sends the action again with
	// the same key. Zero means that it is sent once.
	ResendAfterMS int64 `json:"resend_after_ms,omitempty"`
	TimeoutMS     int64 `json:"timeout_ms"`
}

// At returns the time of arrival since the start of the replay.
func (c *Call) At() time.Duration { return milliseconds(c.AtMS) }

// Change is one commit by an operator, which replaces the labels of an engine or
// service instance, or drains it.
type Change struct {
	AtMS     int64             `json:"at_ms"`
	ID       string            `json:"id"`
	Upstream string            `json:"upstream"`
	Labels   map[string]string `json:"labels,omitempty"`
	// Drain stops new requests to the upstream and leaves its labels unchanged.
	Drain bool `json:"drain,omitempty"`
}

// At returns the time of the commit since the start of the replay.
func (c *Change) At() time.Duration { return milliseconds(c.AtMS) }

// FaultAction is the operation that a fault performs on its target.
type FaultAction string

// Fault actions.
const (
	// ActionKill kills the process (SIGKILL).
	ActionKill FaultAction = "kill"
	// ActionFreeze suspends the process (SIGSTOP).
	ActionFreeze FaultAction = "freeze"
	// ActionThaw resumes a suspended process (SIGCONT).
	ActionThaw FaultAction = "thaw"
	// ActionShutdown requests a graceful shutdown of the process (SIGTERM).
	ActionShutdown FaultAction = "shutdown"
	// ActionLeave sets the state of the host to leaving in the platform's host
	// list.
	ActionLeave FaultAction = "leave"
	// ActionSet sends Body to the fault settings of a stand-in.
	ActionSet FaultAction = "set"
	// ActionPerform sends Body to a stand-in as an action that it performs once.
	ActionPerform FaultAction = "perform"
)

// Fault is one fault that the replay injects.
type Fault struct {
	AtMS   int64       `json:"at_ms"`
	Target string      `json:"target"`
	Action FaultAction `json:"action"`
	// Body is the request body of ActionSet and ActionPerform, in the format of
	// the stand-in.
	Body map[string]any `json:"body,omitempty"`
}

// At returns the time of the fault since the start of the replay.
func (f *Fault) At() time.Duration { return milliseconds(f.AtMS) }

// Outcome is one required outcome: a measure with its bound.
type Outcome struct {
	Measure Measure `json:"measure"`
	// Bound is the maximum value that passes, or the minimum if AtLeast is set.
	Bound   float64 `json:"bound"`
	AtLeast bool    `json:"at_least,omitempty"`
}

// Measure names a value that is computed from a replay.
type Measure string

// Measures of a replay.
const (
	// MeasureWholeAnswers is the fraction of turns whose caller received the
	// expected answer completely.
	MeasureWholeAnswers Measure = "whole_answers"
	// MeasureWrongAnswers counts answers that were reported as complete but have a
	// token that is missing, out of order or from another caller's answer.
	MeasureWrongAnswers Measure = "wrong_answers"
	// MeasureRefusedTurns is the fraction of turns that ended with a refusal.
	MeasureRefusedTurns Measure = "refused_turns"
	// MeasureExecutions is the maximum number of executions of one action.
	MeasureExecutions Measure = "executions_per_action"
	// MeasureNotRunExecutions counts executions of actions answered "not run".
	MeasureNotRunExecutions Measure = "executions_of_not_run"
	// MeasureDoneWithoutRun counts actions answered "done" that were never
	// executed.
	MeasureDoneWithoutRun Measure = "done_without_execution"
	// MeasureConfirmedActions is the fraction of actions answered "done".
	MeasureConfirmedActions Measure = "confirmed_actions"
	// MeasureSkew is the maximum ratio of an engine's load to the mean of its pool.
	// A load up to one request above the integer part of the mean counts as 1.
	MeasureSkew Measure = "skew"
	// MeasureCacheReuse is the fraction of prefix tokens of continued chats that came
	// from an engine's cache.
	MeasureCacheReuse Measure = "cache_reuse"
	// MeasureCacheReuseOfPossible is the cache reuse relative to that of a placement
	// that knows all caches and loads and has the same load bound: a turn that
	// continues a chat counts if the chat's last engine was live and below the
	// bound.
	MeasureCacheReuseOfPossible Measure = "cache_reuse_of_possible"
	// MeasureNewWorkOfLeaving counts requests that an engine accepted more than
	// LeavingGrace after it began to leave or its drain was committed.
	MeasureNewWorkOfLeaving Measure = "new_work_of_leaving"
	// MeasureBrokenStreams counts engine streams that were interrupted.
	MeasureBrokenStreams Measure = "broken_streams"
	// MeasureCutConnections counts connections of callers that failed or stalled
	// before the answer was complete.
	MeasureCutConnections Measure = "cut_connections"
	// MeasureControlBytes is the maximum control traffic of a daemon, in bytes per
	// second.
	MeasureControlBytes Measure = "control_bytes_per_s"
	// MeasureConfigurationTime is the maximum time from a commit until every running
	// daemon has applied it, in seconds.
	MeasureConfigurationTime Measure = "configuration_seconds"
	// MeasureConfigurationReverts counts decreases of a daemon's applied revision.
	MeasureConfigurationReverts Measure = "configuration_reverts"
)

// Measures lists all measures.
var Measures = []Measure{
	MeasureWholeAnswers, MeasureWrongAnswers, MeasureRefusedTurns,
	MeasureExecutions, MeasureNotRunExecutions, MeasureDoneWithoutRun, MeasureConfirmedActions,
	MeasureSkew, MeasureCacheReuse, MeasureCacheReuseOfPossible,
	MeasureNewWorkOfLeaving, MeasureBrokenStreams, MeasureCutConnections, MeasureControlBytes, MeasureConfigurationTime, MeasureConfigurationReverts,
}

// LeavingGrace is the time for which an engine may still accept new requests after
// it began to leave or its drain was committed.
const LeavingGrace = 4 * time.Second

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
