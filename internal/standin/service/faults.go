package service

import (
	"net/http"
	"strings"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// Faults are the switchable faults of the service. The zero value has none.
// Counted faults strike the next requests that match PathPrefix and count
// down; when several are set, a request takes the first in order of fields.
type Faults struct {
	// Outage fails every request before it is executed.
	Outage standin.Outage `json:"outage"`
	// DelayMS is added to each execution, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// PathPrefix limits the counted faults; empty matches every path.
	PathPrefix string `json:"path_prefix"`
	// RefuseBefore closes the connection before the body is read, without
	// executing.
	RefuseBefore int `json:"refuse_before"`
	// LoseReplies executes and closes the connection without a reply.
	LoseReplies int `json:"lose_replies"`
	// Hang never executes and never answers.
	Hang int `json:"hang"`
	// HangAfter executes and never answers.
	HangAfter int `json:"hang_after"`
	// Errors answers with ErrorStatus without executing.
	Errors int `json:"errors"`
	// ErrorsAfter executes and answers with ErrorStatus.
	ErrorsAfter int `json:"errors_after"`
	// ErrorStatus is a status of 500 and above; 0 means 500.
	ErrorStatus int `json:"error_status"`
	// CrashWord crashes the service when a body contains it.
	CrashWord string `json:"crash_word"`
	// LoadReport replaces the counts of the load report when set.
	LoadReport *Load `json:"load_report"`
}

type faultKind int

const (
	faultNone faultKind = iota
	faultRefuseBefore
	faultLoseReply
	faultHang
	faultHangAfter
	faultError
	faultErrorAfter
)

func (f Faults) errorStatus() int {
	if f.ErrorStatus == 0 {
		return http.StatusInternalServerError
	}
	return f.ErrorStatus
}

// takeFault returns the counted fault that strikes a request.
func (s *Server) takeFault(path string) faultKind {
	kind := faultNone
	s.Faults.Update(func(f *Faults) {
		if !strings.HasPrefix(path, f.PathPrefix) {
			return
		}
		kind = f.takeNext()
	})
	return kind
}

// takeNext counts down the first counted fault that is set.
func (f *Faults) takeNext() faultKind {
	counted := []struct {
		left *int
		kind faultKind
	}{
		{&f.RefuseBefore, faultRefuseBefore},
		{&f.LoseReplies, faultLoseReply},
		{&f.Hang, faultHang},
		{&f.HangAfter, faultHangAfter},
		{&f.Errors, faultError},
		{&f.ErrorsAfter, faultErrorAfter},
	}
	for _, c := range counted {
		if *c.left > 0 {
			*c.left--
			return c.kind
		}
	}
	return faultNone
}
