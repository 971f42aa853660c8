// Package call holds the neutral form of one caller's request on its way to an
// instance of a service: what was asked, how long the caller waits, and what
// one send of it carries. Adapters translate their wire format to these types;
// nothing here knows a header name.
package call

import (
	"net/http"
	"time"
)

// Part is one piece of a prompt. Prompts that begin with the same parts share
// cached computation.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the input of a call of a model engine.
type Prompt struct {
	Model string
	// Parts are in the prompt's order; the last belongs to this call alone.
	Parts []Part
}

// Shared returns the parts that other calls may have too.
func (p Prompt) Shared() []Part {
	if len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// AffinityKey returns the identity of the last shared part, empty without one.
func (p Prompt) AffinityKey() string {
	shared := p.Shared()
	if len(shared) == 0 {
		return ""
	}
	return shared[len(shared)-1].ID
}

// Call is one attempt of a caller.
type Call struct {
	// ID is the caller's name for this attempt, unique to it.
	ID     string
	Method string
	Host   string
	// Target is the path with its query, exactly as it came.
	Target string
	// Path is Target without the query.
	Path string
	// Header is what is passed on unchanged.
	Header http.Header
	Body   []byte
	// Credential is the caller's secret, empty when it sent none.
	Credential string
	// Timeout is how long the caller waits, from Arrived; zero when unknown.
	Timeout    time.Duration
	ReceivedAt time.Time
	Prompt     Prompt
	// ResumeAfter is the id of the last event that the caller has of a stream;
	// empty when it starts at the beginning.
	ResumeAfter string
}

// Send is what one send to an instance adds to a call.
type Send struct {
	// Instance is the only one that may run the call.
	Instance  string
	Workspace string
	// TimeLeft is how long the instance may work.
	TimeLeft time.Duration
	// Priority orders work within an instance, zero first.
	Priority int
	// FetchFrom is the address of an instance whose cache holds more of the
	// prompt; empty for none.
	FetchFrom string
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
}

// Load is what an instance says of itself.
type Load struct {
	Running int
	Waiting int
}

// Reply is what the head of an instance's answer says about a send.
type Reply struct {
	// CallID is the attempt that the answer belongs to.
	CallID string
	// NotRun is set when the instance states that it has not run the call.
	NotRun bool
	// WrongInstance is set when another instance has the address now.
	WrongInstance bool
	// Signed is set when the answer carries the instance's own mark, without
	// which a success is none.
	Signed bool
	// ImpliesNotRun is set for statuses that tell a caller that the call has
	// not run.
	ImpliesNotRun bool
	// Encoded is set when the body isn't in its plain form.
	Encoded bool
	// EventStream is set for a stream of events.
	EventStream bool
	// Load is nil when the instance told none.
	Load *Load
}
