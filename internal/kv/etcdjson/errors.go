package etcdjson

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// Codes of gRPC that the gateway passes on.
const (
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeOutOfRange        = 11
	codeUnavailable       = 14
)

// effect says what a call does, and so what a lost reply means.
type effect int

const (
	reads effect = iota
	writes
)

// failure is the body of an error answer. Older gateways put the text into
// error only.
type failure struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Text    string `json:"error"`
	// GRPCCode takes the place of Code in errors within a stream.
	GRPCCode int `json:"grpc_code"`
}

// refusedMessages are the parts of Unavailable messages after which a write
// was not applied for certain: the member refused it before it was proposed.
var refusedMessages = []string{
	"etcdserver: no leader",
	"etcdserver: not leader",
	"etcdserver: rpc not supported for learner",
	"connection error: desc = \"transport: error while dialing",
}

// outageText is the whole message of a service that is shut down for an outage
// and takes no calls.
const outageText = "unavailable"

func (f failure) text() string {
	if f.Message != "" {
		return f.Message
	}
	return f.Text
}

func (f failure) code() int {
	if f.Code != 0 {
		return f.Code
	}
	return f.GRPCCode
}

// surelyRefused reports whether the message says that nothing was applied.
func (f failure) surelyRefused() bool {
	text := strings.ToLower(f.text())
	if text == outageText {
		return true
	}
	for _, part := range refusedMessages {
		if strings.Contains(text, part) {
			return true
		}
	}
	return false
}

// asError maps an error answer to an error of kv.
func (f failure) asError(status int, e effect) error {
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
	case isClientMistake(status):
		return errors.Errorf("key-value service refused the call as invalid (status %d): %s", status, detail)
	case e == reads || f.surelyRefused():
		return errors.WithMessagef(kv.ErrUnavailable, "status %d: %s", status, detail)
	default:
		return errors.WithMessagef(kv.ErrResultUnknown, "status %d: %s", status, detail)
	}
}

func isClientMistake(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout
}

// decodeFailure reads the body of an error answer; a body that is no JSON is
// kept as text.
func decodeFailure(body []byte) failure {
	var f failure
	if err := json.Unmarshal(body, &f); err != nil {
		f.Message = strings.TrimSpace(string(body))
	}
	return f
}

// sendError maps a failed send. Without a connection nothing was sent.
func sendError(err error, connected bool, e effect) error {
	if !connected || e == reads {
		return errors.WithMessage(kv.ErrUnavailable, err.Error())
	}
	return errors.WithMessage(kv.ErrResultUnknown, err.Error())
}
