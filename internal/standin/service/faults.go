package service

import (
	"net/http"
	"strings"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// Faults are the faults that can be set on the service. The zero value has none.
// A counted fault (RefuseBefore to ErrorsAfter) applies to the given number of
// next requests that match PathPrefix; when several are set, a request uses up
// the first in the order of the fields.
type Faults struct {
	// Outage makes every request fail before it is executed.
	Outage standin.Outage `json:"outage"`
	// DelayMS is added to each execution, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// PathPrefix limits the counted faults to matching paths; empty matches every
	// path.
	PathPrefix string `json:"path_prefix"`
	// RefuseBefore closes the connection before the body is read; the request is
	// not executed.
	RefuseBefore int `json:"refuse_before"`
	// LoseReplies executes the request and closes the connection without a
	// response.
	LoseReplies int `json:"lose_replies"`
	// Hang neither executes the request nor responds.
	Hang int `json:"hang"`
	// HangAfter executes the request and never responds.
	HangAfter int `json:"hang_after"`
	// Errors responds with ErrorStatus without executing the request.
	Errors int `json:"errors"`
	// ErrorsAfter executes the request and responds with ErrorStatus.
	ErrorsAfter int `json:"errors_after"`
	// ErrorStatus is a status of 500 or above; 0 means 500.
	ErrorStatus int `json:"error_status"`
	// CrashWord crashes the service when a request body contains it.
	CrashWord string `json:"crash_word"`
	// LoadReport overrides the counts of the load report when set.
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

// nextFault uses up and returns the counted fault that applies to a request.
func (s *Server) nextFault(path string) faultKind {
	kind := faultNone
	s.Faults.Update(func(f *Faults) {
		if !strings.HasPrefix(path, f.PathPrefix) {
			return
		}
		kind = f.takeFault()
	})
	return kind
}

// takeFault decrements the first counted fault that is set and returns its
// kind.
func (f *Faults) takeFault() faultKind {
	counted := []struct {
		remaining *int
		kind      faultKind
	}{
		{&f.RefuseBefore, faultRefuseBefore},
		{&f.LoseReplies, faultLoseReply},
		{&f.Hang, faultHang},
		{&f.HangAfter, faultHangAfter},
		{&f.Errors, faultError},
		{&f.ErrorsAfter, faultErrorAfter},
	}
	for _, c := range counted {
		if *c.remaining > 0 {
			*c.remaining--
			return c.kind
		}
	}
	return faultNone
}
