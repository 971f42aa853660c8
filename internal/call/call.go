// Package call holds the protocol-independent form of one caller's request to an
// instance of a service: its content, the caller's timeout, and the data that is
// added when it is sent to an instance. Adapters convert their wire format to and
// from these types; this package doesn't know the names of their headers.
package call

import (
	"net/http"
	"time"
)

// Part is one piece of a prompt. Prompts that begin with the same parts can share
// cached computation.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the input of a call to a model engine.
type Prompt struct {
	Model string
	// Parts are in the order of the prompt; the last one is specific to this call.
	Parts []Part
}

// Shared returns the parts that other calls may have in common with this one.
func (p Prompt) Shared() []Part {
	if len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedIDs returns the IDs of the shared parts in the order of the prompt.
func (p Prompt) SharedIDs() []string {
	var ids []string
	for _, part := range p.Shared() {
		ids = append(ids, part.ID)
	}
	return ids
}

// AffinityKey returns the ID of the last shared part, or an empty string if there is
// none.
func (p Prompt) AffinityKey() string {
	shared := p.Shared()
	if len(shared) == 0 {
		return ""
	}
	return shared[len(shared)-1].ID
}

// Call is one request of a caller.
type Call struct {
	// ID is the caller's unique identifier of the request; a resend has a new one.
	ID     string
	Method string
	Host   string
	// Target is the path with its query, exactly as received.
	Target string
	// Path is Target without the query.
	Path string
	// Header has the headers that are forwarded unchanged.
	Header http.Header
	Body   []byte
	// Credential is the caller's secret, empty if it sent none.
	Credential string
	// Timeout is how long the caller waits, counted from ReceivedAt; zero if unknown.
	Timeout    time.Duration
	ReceivedAt time.Time
	Prompt     Prompt
	// ResumeAfter is the ID of the last stream event that the caller has received;
	// empty if the stream starts at the beginning.
	ResumeAfter string
	// BegunBy is the ID of the call that brought the first event of the stream that this
	// one goes on with; empty if the caller doesn't name it.
	BegunBy string
}

// Attempt holds the data that is added to a call for one attempt at an instance.
type Attempt struct {
	// Instance is the ID of the only instance that may run the call.
	Instance  string
	Workspace string
	// TimeLeft is the time that the instance has for the call.
	TimeLeft time.Duration
	// Priority orders calls within an instance; zero is served first.
	Priority int
	// FetchFrom is the address of an instance whose cache holds more of the
	// prompt; empty if there is none.
	FetchFrom string
	// ResumeAfter is the ID of the last stream event that the caller has received.
	ResumeAfter string
}

// Load is the load that an instance reports: the calls it runs and the calls that
// wait there.
type Load struct {
	Running int
	Waiting int
}

// Identity is what an instance says of itself when it is asked for its state.
type Identity struct {
	// IsInstance is set if the answer is one that only an instance gives. A proxy, or another
	// program at the address, says nothing of it.
	IsInstance bool
	// Instance is its ID, empty if it names none.
	Instance string
	// StartedAt is when it started, zero if it doesn't tell.
	StartedAt time.Time
}

// Reply is the information about an attempt in the status and headers of an instance's
// response.
type Reply struct {
	// CallID is the Call.ID that the response belongs to.
	CallID string
	// NotRun is set if the instance states that it did not run the call.
	NotRun bool
	// WrongInstance is set if another instance now has the address.
	WrongInstance bool
	// Signed is set if the response carries the instance's signature. A successful
	// response without it is treated as a failure.
	Signed bool
	// ImpliesNotRun is set for statuses from which callers conclude that the call
	// did not run.
	ImpliesNotRun bool
	// Encoded is set if the body has a content encoding.
	Encoded bool
	// EventStream is set for a stream of events.
	EventStream bool
	// Load is nil if the instance reported none.
	Load *Load
	// InvalidLoad is what the instance sent in place of a valid load, empty otherwise.
	InvalidLoad string
	// Leaving is set if the instance says that it leaves.
	Leaving bool
	// Pause is for how long the instance wants no more calls from this router, zero
	// if it asked for no pause.
	Pause time.Duration
	// InvalidPause is what the instance sent in place of a valid pause, empty
	// otherwise. Pause then holds the bound that applies, or zero.
	InvalidPause string
	// RateLimit is how many calls a second the instance takes from all routers together,
	// nil if it names no limit.
	RateLimit *float64
	// InvalidRateLimit is what the instance sent in place of a valid limit, empty
	// otherwise.
	InvalidRateLimit string
}
