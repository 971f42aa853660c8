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

func (f errorResponse) text() string {
	if f.Message != "" {
		return f.Message
	}
	return f.Text
}

func (f errorResponse) code() int {
	if f.Code != 0 {
		return f.Code
	}
	return f.GRPCCode
}

// notApplied reports whether the message means that the call was certainly not
// applied.
func (f errorResponse) notApplied() bool {
	text := strings.ToLower(f.text())
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
func (f errorResponse) asError(status int, e effect) error {
	detail := f.text()
	switch {
	case status == http.StatusTooManyRequests || f.code() == codeResourceExhausted:
		return errors.WithMessage(kv.ErrRateLimited, detail)
	case strings.Contains(detail, "lease not found"):
		return errors.WithMessage(kv.ErrLeaseExpired, detail)
	case f.code() == codeOutOfRange && strings.Contains(detail, "compacted"):
		return errors.WithMessage(kv.ErrCompacted, detail)
	case f.code() == codeNotFound:
		return errors.WithMessage(kv.ErrNotFound, detail)
	case isClientError(status):
		return errors.Errorf("key-value service rejected the call as invalid (status %d): %s", status, detail)
	case e == readOnly || f.notApplied():
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
	var f errorResponse
	if err := json.Unmarshal(body, &f); err != nil {
		f.Message = strings.TrimSpace(string(body))
	}
	return f
}

// transportError maps a transport error to one of the errors of package kv. Without
// a connection nothing was sent, so the call was not applied.
func transportError(err error, connected bool, e effect) error {
	if !connected || e == readOnly {
		return errors.WithMessage(kv.ErrUnavailable, err.Error())
	}
	return errors.WithMessage(kv.ErrResultUnknown, err.Error())
}
