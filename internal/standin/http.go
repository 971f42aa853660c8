package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Paths that every stand-in serves to tests.
const (
	PathState   = "/admin/state"
	PathFaults  = "/admin/faults"
	PathActions = "/admin/actions"
)

// MaxBodyBytes bounds the body of a request to a stand-in.
const MaxBodyBytes = 16 << 20

// ErrorBody is the JSON form of an error of a stand-in.
type ErrorBody struct {
	Error string `json:"error"`
}

// ReadJSON decodes the body of a request and ignores unknown fields. On
// failure it answers with status 400 and returns the error.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) error {
	return readWith(json.Unmarshal, w, r, into)
}

// ReadStrictJSON is ReadJSON, but unknown fields are mistakes.
func ReadStrictJSON(w http.ResponseWriter, r *http.Request, into any) error {
	return readWith(decodeStrict, w, r, into)
}

func readWith(decode func([]byte, any) error, w http.ResponseWriter, r *http.Request, into any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err == nil {
		err = decode(body, into)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, "invalid JSON body: "+err.Error())
		return errors.Wrap(err, "read body")
	}
	return nil
}

func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// WriteJSON sends a value as the whole response.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError sends an ErrorBody.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, ErrorBody{Error: message})
}

// CutConnection ends the handler and closes the connection without a reply.
func CutConnection() {
	panic(http.ErrAbortHandler)
}

// FaultConfig holds the faults of a stand-in. It is safe for concurrent use.
type FaultConfig[T any] struct {
	// OnChange, if set, is called after each change, without a lock. Calls of
	// concurrent changes may come in any order, so it reads the faults anew.
	OnChange func()

	mu    sync.Mutex
	value T
}

// Get returns the present faults.
func (s *FaultConfig[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// Update changes the faults.
func (s *FaultConfig[T]) Update(change func(*T)) {
	s.mu.Lock()
	change(&s.value)
	s.mu.Unlock()
	if s.OnChange != nil {
		s.OnChange()
	}
}

// ServeHTTP answers GET with the faults. POST changes the fields that its body
// names and leaves the others.
func (s *FaultConfig[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		if err == nil {
			err = s.merge(body)
		}
		if err != nil {
			WriteError(w, http.StatusBadRequest, "invalid faults: "+err.Error())
			return
		}
	}
	WriteJSON(w, http.StatusOK, s.Get())
}

// merge changes the fields that a JSON body names, in a deep copy, so that
// values that were read before stay as they were.
func (s *FaultConfig[T]) merge(body []byte) error {
	var failure error
	s.Update(func(value *T) {
		var next T
		present, err := json.Marshal(*value)
		if err == nil {
			err = json.Unmarshal(present, &next)
		}
		if err == nil {
			err = decodeStrict(body, &next)
		}
		if err != nil {
			failure = err
			return
		}
		*value = next
	})
	return failure
}

// Outage tells how a stand-in fails the calls that reach it.
type Outage string

// Kinds of outage.
const (
	// OutageNone means that calls are served.
	OutageNone Outage = ""
	// OutageCut closes the connection of each call without a reply.
	OutageCut Outage = "cut"
	// OutageRefuse answers each call with status 503.
	OutageRefuse Outage = "refuse"
)

// Apply fails the call under an outage and reports whether it was failed.
func (o Outage) Apply(w http.ResponseWriter) bool {
	switch o {
	case OutageCut:
		CutConnection()
	case OutageRefuse:
		WriteError(w, http.StatusServiceUnavailable, "unavailable")
		return true
	}
	return false
}
