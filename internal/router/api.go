// Package router is the HTTP interface of a router towards callers: chat
// completions as server-sent events or JSON, and calls to services.
package router

// Paths of the interface to callers.
const (
	PathChat     = "/v1/chat/completions"
	PathServices = "/v1/services/" // followed by the service's name and the path of the call
)

// Headers of the interface to callers.
const (
	HeaderWorkspace = "Verbenatrail-Workspace"
	HeaderChat      = "Verbenatrail-Chat"
	HeaderPriority  = "Verbenatrail-Priority"
	HeaderTimeoutMS = "Verbenatrail-Timeout-Ms"
	HeaderOutcome   = "Verbenatrail-Outcome"
	// HeaderUpstream is the name of the engine or service instance that answered.
	HeaderUpstream = "Verbenatrail-Upstream"
	// HeaderReplayed is set on a response that is replayed from the recorded outcome
	// of an action, a non-idempotent call.
	HeaderReplayed = "Verbenatrail-Replayed"
	// HeaderBodyOmitted is set on a replayed response when the service's headers
	// and body are no longer recorded.
	HeaderBodyOmitted = "Verbenatrail-Body-Omitted"
	// HeaderMoveTo is the address of another router to use while this one is
	// leaving.
	HeaderMoveTo      = "Verbenatrail-Move-To"
	HeaderRequestID   = "X-Request-Id"
	HeaderLastEventID = "Last-Event-ID"
	HeaderActionKey   = "Idempotency-Key"
)

// EventError is the type of the event that ends an answer that can't be
// completed. Its data is the JSON form of a refusal.
const EventError = "error"
