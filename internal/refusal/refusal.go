// Package refusal defines the typed errors for requests that end without a
// complete response. Every refusal states whether the request is known to have
// run, and what the caller can do next.
package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// Outcome is what is known about the execution of a request.
type Outcome string

// Outcomes reported to callers.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not run"
	Unknown Outcome = "unknown"
)

// Kind is the machine-readable class of a refusal; callers switch on it.
type Kind string

// Kinds of refusal.
const (
	BadRequest         Kind = "bad_request"
	BodyTooLarge       Kind = "body_too_large"
	HeadersTooLarge    Kind = "headers_too_large"
	MethodNotAllowed   Kind = "method_not_allowed"
	SlowRequest        Kind = "slow_request"
	UnknownWorkspace   Kind = "unknown_workspace"
	UnknownModel       Kind = "unknown_model"
	UnknownService     Kind = "unknown_service"
	NoMatchingUpstream Kind = "no_matching_upstream"
	NoLiveUpstream     Kind = "no_live_upstream"
	NoConfiguration    Kind = "no_configuration"
	Overloaded         Kind = "overloaded"
	QueueTimeout       Kind = "queue_timeout"
	RetriesExhausted   Kind = "retries_exhausted"
	CrashContained     Kind = "crash_contained"
	Leaving            Kind = "leaving"
	TooManyHops        Kind = "too_many_hops"
	StreamLost         Kind = "stream_lost"
	UpstreamFailed     Kind = "upstream_failed"
	ActionKeyMissing   Kind = "action_key_missing"
	ActionKeyInvalid   Kind = "action_key_invalid"
	ActionKeyExpired   Kind = "action_key_expired"
	ActionKeyReused    Kind = "action_key_reused"
	ActionUnconfirmed  Kind = "action_unconfirmed"
	ClaimsUnavailable  Kind = "claims_unavailable"
	OwnerUnreachable   Kind = "owner_unreachable"
	DeadlineExceeded   Kind = "deadline_exceeded"
	InternalError      Kind = "internal_error"
	OverBound          Kind = "over_bound"
	AboveMean          Kind = "above_mean"
	UnknownRoute       Kind = "unknown_route"
	UnknownKey         Kind = "unknown_key"
)

// Refusal is the error of a request that ended without a complete response.
type Refusal struct {
	Kind    Kind
	Outcome Outcome
	// Message describes the failure and what the caller can do.
	Message string
	// RetryAfter is zero if a retry can't help.
	RetryAfter time.Duration
	// Upstream is the engine or service instance that failed, if any.
	Upstream string
	// UpstreamCrashed is set if the upstream closed the connection while it ran
	// the request.
	UpstreamCrashed bool
	// UpstreamLoad is the number of requests in flight per unit of weight at an
	// upstream that didn't admit the request.
	UpstreamLoad float64
}

// New returns a refusal for a request that was not run.
func New(kind Kind, message string) *Refusal {
	return &Refusal{Kind: kind, Outcome: NotRun, Message: message}
}

// NewUnknown returns a refusal for a request that may have run.
func NewUnknown(kind Kind, message string) *Refusal {
	return &Refusal{Kind: kind, Outcome: Unknown, Message: message}
}

// leavingRetryAfter is short: another router can take the call at once.
const leavingRetryAfter = 10 * time.Millisecond

// NewLeaving returns the refusal of a call that a stopping router doesn't take.
func NewLeaving() *Refusal {
	return New(Leaving, "this router is stopping: send the call to another one").WithRetryAfter(leavingRetryAfter)
}

// NewEndedByStop returns the refusal of a call that a stopping router ends although it may
// have run. With repeatable set, it may be sent to another router at once.
func NewEndedByStop(repeatable bool) *Refusal {
	if repeatable {
		return NewUnknown(Leaving, "this router stopped before the call was complete: send it to another one").WithRetryAfter(leavingRetryAfter)
	}
	return NewUnknown(Leaving, "this router stopped before the call was complete and the call may have run: check its effect before it is sent again")
}

// WithRetryAfter sets the time after which a retry may succeed and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// AsUnknown returns a copy of r with outcome Unknown.
func (r *Refusal) AsUnknown() *Refusal {
	unknown := *r
	unknown.Outcome = Unknown
	return &unknown
}

// Error returns the kind, the outcome and the message.
func (r *Refusal) Error() string {
	return string(r.Kind) + " (" + string(r.Outcome) + "): " + r.Message
}

// HTTPStatus returns the HTTP status code sent to callers.
func (r *Refusal) HTTPStatus() int {
	if status, ok := statusByKind[r.Kind]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

var statusByKind = map[Kind]int{
	BadRequest:         http.StatusBadRequest,
	BodyTooLarge:       http.StatusRequestEntityTooLarge,
	HeadersTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	MethodNotAllowed:   http.StatusMethodNotAllowed,
	SlowRequest:        http.StatusRequestTimeout,
	UnknownWorkspace:   http.StatusForbidden,
	UnknownModel:       http.StatusNotFound,
	UnknownService:     http.StatusNotFound,
	UnknownRoute:       http.StatusNotFound,
	UnknownKey:         http.StatusUnauthorized,
	NoMatchingUpstream: http.StatusForbidden,
	Overloaded:         http.StatusTooManyRequests,
	OverBound:          http.StatusTooManyRequests,
	AboveMean:          http.StatusTooManyRequests,
	CrashContained:     http.StatusUnprocessableEntity,
	StreamLost:         http.StatusGone,
	UpstreamFailed:     http.StatusBadGateway,
	ActionKeyMissing:   http.StatusBadRequest,
	ActionKeyInvalid:   http.StatusBadRequest,
	ActionKeyExpired:   http.StatusConflict,
	ActionKeyReused:    http.StatusUnprocessableEntity,
	ActionUnconfirmed:  http.StatusConflict,
	DeadlineExceeded:   http.StatusGatewayTimeout,
	InternalError:      http.StatusInternalServerError,
}

// Body is the JSON response body of a refusal.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object in Body.
type BodyError struct {
	Kind         Kind    `json:"kind"`
	Outcome      Outcome `json:"outcome"`
	Message      string  `json:"message"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	RequestID    string  `json:"request_id,omitempty"`
}

// JSON returns the JSON response body of r.
func (r *Refusal) JSON(requestID string) []byte {
	data, err := json.Marshal(Body{Error: BodyError{
		Kind: r.Kind, Outcome: r.Outcome, Message: r.Message,
		RetryAfterMS: r.RetryAfter.Milliseconds(), RequestID: requestID,
	}})
	if err != nil {
		return []byte(`{"error":{"kind":"internal_error","outcome":"unknown"}}`)
	}
	return data
}

// WriteHTTP writes r as the HTTP response.
func (r *Refusal) WriteHTTP(w http.ResponseWriter, requestID string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Verbenatrail-Outcome", string(r.Outcome))
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(r.HTTPStatus())
	_, _ = w.Write(r.JSON(requestID))
}

// ToProto returns the protobuf message exchanged between daemons.
func (r *Refusal) ToProto() *peerpb.Refusal {
	return &peerpb.Refusal{
		Kind: string(r.Kind), Outcome: outcomeToProto(r.Outcome), Message: r.Message,
		RetryAfterMs: uint32(r.RetryAfter.Milliseconds()), Upstream: r.Upstream,
		UpstreamCrashed: r.UpstreamCrashed, UpstreamLoad: float32(r.UpstreamLoad),
	}
}

// FromProto converts a refusal received from a peer. An unspecified outcome
// becomes Unknown.
func FromProto(p *peerpb.Refusal) *Refusal {
	return &Refusal{
		Kind: Kind(p.GetKind()), Outcome: outcomeFromProto(p.GetOutcome()), Message: p.GetMessage(),
		RetryAfter: time.Duration(p.GetRetryAfterMs()) * time.Millisecond, Upstream: p.GetUpstream(),
		UpstreamCrashed: p.GetUpstreamCrashed(), UpstreamLoad: float64(p.GetUpstreamLoad()),
	}
}

func outcomeToProto(o Outcome) peerpb.Outcome {
	switch o {
	case Done:
		return peerpb.Outcome_OUTCOME_DONE
	case NotRun:
		return peerpb.Outcome_OUTCOME_NOT_RUN
	default:
		return peerpb.Outcome_OUTCOME_UNKNOWN
	}
}

func outcomeFromProto(o peerpb.Outcome) Outcome {
	switch o {
	case peerpb.Outcome_OUTCOME_DONE:
		return Done
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return NotRun
	default:
		return Unknown
	}
}
