package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Admin paths of the stand-ins.
const (
	PathState   = "/admin/state"
	PathFaults  = "/admin/faults"
	PathActions = "/admin/actions"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 16 << 20

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}

// ReadJSON decodes the body of a request and ignores unknown fields. On failure
// it responds with status 400 and returns the error.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) error {
	return readWith(json.Unmarshal, w, r, into)
}

// ReadStrictJSON is like ReadJSON but rejects unknown fields.
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
		return errors.Wrap(err, "read JSON request body")
	}
	return nil
}

func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// WriteJSON sends a response with a value as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError sends a response with an ErrorBody.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, ErrorBody{Error: message})
}

// CutConnection aborts the handler and closes the connection without a response.
func CutConnection() {
	panic(http.ErrAbortHandler)
}

// FaultConfig holds the current faults of a stand-in, which can be changed at run
// time. It is safe for concurrent use.
type FaultConfig[T any] struct {
	// OnChange, if set, is called after each change, without a lock held. The
	// calls for concurrent changes may come in any order, so OnChange must read
	// the faults with Get.
	OnChange func()

	mu    sync.Mutex
	value T
}

// Get returns the current faults.
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

// ServeHTTP responds to GET with the faults. POST sets the fields that its body
// contains and leaves the others unchanged.
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

// merge sets the fields that a JSON body contains. It works on a deep copy so
// that values that Get returned earlier do not change.
func (s *FaultConfig[T]) merge(body []byte) error {
	var failure error
	s.Update(func(value *T) {
		var next T
		current, err := json.Marshal(*value)
		if err == nil {
			err = json.Unmarshal(current, &next)
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

// Outage is the way in which a stand-in fails all requests.
type Outage string

// Kinds of outage.
const (
	// OutageNone serves requests normally.
	OutageNone Outage = ""
	// OutageCut closes the connection of each request without a response.
	OutageCut Outage = "cut"
	// OutageRefuse responds to each request with status 503.
	OutageRefuse Outage = "refuse"
)

// Apply fails the request if there is an outage and reports whether it did.
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
