package ledger

import "github.com/google/uuid"

// RecordKind classifies a record of the journal.
type RecordKind int

// Kinds of record. For one key the later record holds.
const (
	// RecordClaim gives the segment's holder the right to dispatch once.
	RecordClaim RecordKind = iota + 1
	// RecordAnswer holds the outcome of a claimed action.
	RecordAnswer
	// RecordUnconfirmed: the dispatch ended without an answer.
	RecordUnconfirmed
	// RecordRelease: the claim was given up before any byte was sent.
	RecordRelease
)

// Record is one step in the life of an action.
type Record struct {
	Kind        RecordKind
	Key         uuid.UUID
	Fingerprint uint64
	// Result is set for RecordAnswer.
	Result Result
}

// Segment is one value of the journal.
type Segment struct {
	Holder string
	// Nonce names the holder's take-over; a change of nonce is a take-over.
	Nonce uint64
	// Horizon is a Unix time in milliseconds: keys issued before it are no
	// longer remembered and must never be claimed again. It never falls.
	Horizon int64
	// Compacted is set when the records start with the state of every action
	// that the segments since the last compacted one name.
	Compacted bool
	Records   []Record
}

// recordBytes is the size of an encoded record without its result.
const recordBytes = 40

func (r *Record) size() int { return recordBytes + r.Result.size() }

func (r *Result) size() int {
	size := len(r.Body)
	for _, header := range r.Headers {
		size += len(header.GetName()) + len(header.GetValue()) + headerBytes
	}
	return size
}

// headerBytes is the encoding's overhead for one header.
const headerBytes = 6

// recordable returns the form of a result that the journal keeps.
func recordable(result Result, limit int) Result {
	if result.size() > limit {
		return Result{Status: result.Status, BodyOmitted: true}
	}
	return Result{Status: result.Status, Headers: result.Headers, Body: result.Body}
}

// IssuedAt returns the issue time of an action key, a UUID version 7, in Unix
// milliseconds.
func IssuedAt(key uuid.UUID) int64 {
	var ms int64
	for _, b := range key[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// ValidKey reports whether a key is a UUID version 7.
func ValidKey(key uuid.UUID) bool {
	return key.Version() == 7 && key.Variant() == uuid.RFC4122
}
