// Package trace holds recorded traces: the sizes of a deployment, the traffic
// of its callers, the faults and changes that happen meanwhile, and the
// outcomes that a replay must reach.
//
// A trace is a file of JSON lines. Each line is one Record, whose Kind names
// the member that is set. The first line has the kind "settings". All times
// are milliseconds from the start of the replay.
package trace

import "time"

// FormatVersion is the version of the file format that this package reads.
const FormatVersion = 1

// Kind names the member of a Record that is set.
type Kind string

// Kinds of record.
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

// Trace is a whole trace. Turns, Calls, Changes and Faults are in time order.
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

// Settings are the sizes of the deployment and the length of the trace.
type Settings struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	// Seed made the trace and seeds the replay's own choices.
	Seed uint64 `json:"seed"`
	// DurationMS is the time of the last arrival; answers may end later.
	DurationMS int64  `json:"duration_ms"`
	Region     string `json:"region"`
	// FailureDomains are those of the region; hosts are spread over them.
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
	// KeyValueWritesPerS and KeyValueReadsPerS are the platform's rates.
	KeyValueWritesPerS int `json:"key_value_writes_per_s"`
	KeyValueReadsPerS  int `json:"key_value_reads_per_s"`
	// HostListLagMS is how late the platform's host list is.
	HostListLagMS int64 `json:"host_list_lag_ms"`
}

// Duration returns the time of the last arrival.
func (s *Settings) Duration() time.Duration { return milliseconds(s.DurationMS) }

// Engine is one model engine.
type Engine struct {
	Name          string            `json:"name"`
	FailureDomain string            `json:"failure_domain"`
	Labels        map[string]string `json:"labels,omitempty"`
	Model         string            `json:"model"`
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// TokenMS is the time between two tokens of a stream.
	TokenMS int64 `json:"token_ms"`
	// CacheTokens is the size of the prefix cache.
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

// IdempotentCall names calls, besides GET, HEAD and OPTIONS, that may repeat.
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

// Selector admits labelled upstreams to the traffic of labelled workspaces.
type Selector struct {
	Name       string            `json:"name"`
	Workspaces map[string]string `json:"workspaces"`
	Models     []string          `json:"models,omitempty"`
	Services   []string          `json:"services,omitempty"`
	Upstreams  map[string]string `json:"upstreams"`
}

// Turn is the arrival of one message of a chat. A chat's turns come in order;
// a turn whose predecessor has no answer yet waits for it.
type Turn struct {
	AtMS      int64  `json:"at_ms"`
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Chat      string `json:"chat"`
	// Turn counts from zero within the chat.
	Turn  int    `json:"turn"`
	Model string `json:"model"`
	// PauseMS is the time since the chat's turn before.
	PauseMS int64 `json:"pause_ms,omitempty"`
	// PrefixWords is the length of what earlier turns sent and got, as
	// recorded. The replay sends the answers that it was given itself.
	PrefixWords int `json:"prefix_words"`
	// NewWords is the length of this turn's message.
	NewWords int `json:"new_words"`
	// MaxTokens is the length of the answer.
	MaxTokens int    `json:"max_tokens"`
	Priority  string `json:"priority,omitempty"`
	TimeoutMS int64  `json:"timeout_ms"`
}

// At returns the time of arrival from the start of the replay.
func (t *Turn) At() time.Duration { return milliseconds(t.AtMS) }

// Call is one call of a plain service.
type Call struct {
	AtMS      int64  `json:"at_ms"`
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body,omitempty"`
	// Action marks a call that must run at most once; it gets a key.
	Action bool `json:"action,omitempty"`
	// ResendAfterMS makes the caller send the action again, with the same key
	// and through another router, this long after the first. Zero means never.
	ResendAfterMS int64 `json:"resend_after_ms,omitempty"`
	TimeoutMS     int64 `json:"timeout_ms"`
}

// At returns the time of arrival from the start of the replay.
func (c *Call) At() time.Duration { return milliseconds(c.AtMS) }

// Change is one commit by an operator: the labels of an engine or service
// instance are replaced, or it is drained.
type Change struct {
	AtMS     int64             `json:"at_ms"`
	ID       string            `json:"id"`
	Upstream string            `json:"upstream"`
	Labels   map[string]string `json:"labels,omitempty"`
	// Drain sends no new work to the upstream and leaves its labels.
	Drain bool `json:"drain,omitempty"`
}

// At returns the time of the commit from the start of the replay.
func (c *Change) At() time.Duration { return milliseconds(c.AtMS) }

// FaultAction is what is done to a process.
type FaultAction string

// Actions of a fault.
const (
	// ActionKill ends the process at once (SIGKILL).
	ActionKill FaultAction = "kill"
	// ActionFreeze suspends the process (SIGSTOP).
	ActionFreeze FaultAction = "freeze"
	// ActionThaw continues a frozen process (SIGCONT).
	ActionThaw FaultAction = "thaw"
	// ActionShutdown asks the process to end gracefully (SIGTERM).
	ActionShutdown FaultAction = "shutdown"
	// ActionLeave sets the state of the host to leaving in the platform's list.
	ActionLeave FaultAction = "leave"
	// ActionSet sends Body to the fault switches of a stand-in.
	ActionSet FaultAction = "set"
	// ActionPerform sends Body to the actions of a stand-in, which happen once.
	ActionPerform FaultAction = "perform"
)

// Fault is one failure, brought about at a time.
type Fault struct {
	AtMS   int64       `json:"at_ms"`
	Target string      `json:"target"`
	Action FaultAction `json:"action"`
	// Body is what ActionSet and ActionPerform send, in the stand-in's form.
	Body map[string]any `json:"body,omitempty"`
}

// At returns the time of the fault from the start of the replay.
func (f *Fault) At() time.Duration { return milliseconds(f.AtMS) }

// Outcome is one stated outcome: a measure with its bound.
type Outcome struct {
	Measure Measure `json:"measure"`
	// Bound is the largest good value, or the smallest when AtLeast is set.
	Bound   float64 `json:"bound"`
	AtLeast bool    `json:"at_least,omitempty"`
}

// Measure names a figure that a replay takes.
type Measure string

// Measures of a replay.
const (
	// MeasureWholeAnswers is the share of answered turns over all turns, each
	// answer whole and the caller's own.
	MeasureWholeAnswers Measure = "whole_answers"
	// MeasureWrongAnswers counts answers with a token that is missing, out of
	// order or another caller's.
	MeasureWrongAnswers Measure = "wrong_answers"
	// MeasureRefusedTurns is the share of turns that ended in a refusal.
	MeasureRefusedTurns Measure = "refused_turns"
	// MeasureExecutions is the highest number of executions of one action.
	MeasureExecutions Measure = "executions_per_action"
	// MeasureNotRunExecutions counts executions of actions answered "not run".
	MeasureNotRunExecutions Measure = "executions_of_not_run"
	// MeasureDoneWithoutRun counts actions answered "done" that never ran.
	MeasureDoneWithoutRun Measure = "done_without_execution"
	// MeasureConfirmedActions is the share of actions answered "done".
	MeasureConfirmedActions Measure = "confirmed_actions"
	// MeasureSkew is the highest engine load over the mean of its pool, beyond
	// an allowance of one request.
	MeasureSkew Measure = "skew"
	// MeasureCacheReuse is the share of prefix tokens of returning chats that came
	// from an engine's cache.
	MeasureCacheReuse Measure = "cache_reuse"
	// MeasureCacheReuseOfPossible is the reuse over what a placement that knew all
	// caches and loads could reuse under the same bound: a returning turn
	// counts when its last engine was live and below its bound.
	MeasureCacheReuseOfPossible Measure = "cache_reuse_of_possible"
	// MeasureNewWorkOfLeaving counts requests that an engine accepted more than
	// LeavingGrace after it began to leave or was drained.
	MeasureNewWorkOfLeaving Measure = "new_work_of_leaving"
	// MeasureBrokenStreams counts streams of engines that broke off.
	MeasureBrokenStreams Measure = "broken_streams"
	// MeasureCutConnections counts connections of callers that broke off or
	// went silent before the answer ended.
	MeasureCutConnections Measure = "cut_connections"
	// MeasureControlBytes is the highest control traffic of a router, in bytes
	// per second.
	MeasureControlBytes Measure = "control_bytes_per_s"
	// MeasureConfigurationTime is the longest time from a commit until every
	// running router has it in force, in seconds.
	MeasureConfigurationTime Measure = "configuration_seconds"
	// MeasureConfigurationReverts counts falls of a router's revision in force.
	MeasureConfigurationReverts Measure = "configuration_reverts"
)

// Measures are all measures, in the order of a report.
var Measures = []Measure{
	MeasureWholeAnswers, MeasureWrongAnswers, MeasureRefusedTurns,
	MeasureExecutions, MeasureNotRunExecutions, MeasureDoneWithoutRun, MeasureConfirmedActions,
	MeasureSkew, MeasureCacheReuse, MeasureCacheReuseOfPossible,
	MeasureNewWorkOfLeaving, MeasureBrokenStreams, MeasureCutConnections, MeasureControlBytes, MeasureConfigurationTime, MeasureConfigurationReverts,
}

// LeavingGrace is how long after its notice a leaving engine may get new work.
const LeavingGrace = 4 * time.Second

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
