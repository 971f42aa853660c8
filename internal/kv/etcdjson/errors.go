package etcdjson

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// gRPC status codes in the gateway's error responses.
const (
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeOutOfRange        = 11
	codeUnavailable       = 14
)

// effect tells whether a call may change data. A lost response leaves the result
// unknown only for a mutating call.
type effect int

const (
	readOnly effect = iota
	mutating
)

// errorResponse is the body of an error response. Older gateways set the message
// only in the error field.
type errorResponse struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Text    string `json:"error"`
	// GRPCCode replaces Code in errors within a stream.
	GRPCCode int `json:"grpc_code"`
}

// notAppliedMessages are substrings of Unavailable messages that mean that a
// write was certainly not applied: the etcd member rejected it before it was
// proposed.
var notAppliedMessages = []string{
	"etcdserver: no leader",
	"etcdserver: not leader",
	"etcdserver: rpc not supported for learner",
	"connection error: desc = \"transport: error while dialing",
}

// outageMessage is the complete message of a key-value service that accepts no
// calls during an outage.
const outageMessage = "unavailable"

func (r errorResponse) text() string {
	if r.Message != "" {
		return r.Message
	}
	return r.Text
}

func (r errorResponse) code() int {
	if r.Code != 0 {
		return r.Code
	}
	return r.GRPCCode
}

// notApplied reports whether the message means that the call was certainly not
// applied.
func (r errorResponse) notApplied() bool {
	text := strings.ToLower(r.text())
	if text == outageMessage {
		return true
	}
	for _, part := range notAppliedMessages {
		if strings.Contains(text, part) {
			return true
		}
	}
	return false
}

// asError maps an error response to one of the errors of package kv.
func (r errorResponse) asError(status int, e effect) error {
	detail := r.text()
	switch {
	case status == http.StatusTooManyRequests || r.code() == codeResourceExhausted:
		return errors.WithMessage(kv.ErrRateLimited, detail)
	case strings.Contains(detail, "lease not found"):
		return errors.WithMessage(kv.ErrLeaseExpired, detail)
	case r.code() == codeOutOfRange && strings.Contains(detail, "compacted"):
		return errors.WithMessage(kv.ErrCompacted, detail)
	case r.code() == codeNotFound:
		return errors.WithMessage(kv.ErrNotFound, detail)
	case isClientError(status):
		return errors.Errorf("key-value service rejected the call as invalid (status %d): %s", status, detail)
	case e == readOnly || r.notApplied():
		return errors.WithMessagef(kv.ErrUnavailable, "status %d: %s", status, detail)
	default:
		return errors.WithMessagef(kv.ErrResultUnknown, "status %d: %s", status, detail)
	}
}

func isClientError(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout
}

// decodeErrorResponse decodes the body of an error response. A body that is not
// JSON becomes the message.
func decodeErrorResponse(body []byte) errorResponse {
	var r errorResponse
	if err := json.Unmarshal(body, &r); err != nil {
		r.Message = strings.TrimSpace(string(body))
	}
	return r
}

// transportError maps a transport error to one of the errors of package kv. Without
// a connection nothing was sent, so the call was not applied.
func transportError(err error, connected bool, e effect) error {
	if !connected || e == readOnly {
		return errors.WithMessage(kv.ErrUnavailable, err.Error())
	}
	return errors.WithMessage(kv.ErrResultUnknown, err.Error())
}
