package ledger

import "github.com/google/uuid"

// RecordKind is the kind of a journal record.
type RecordKind int

// Kinds of record. The latest record of a key is its current state.
const (
	// RecordClaim: the segment's holder may dispatch the action once.
	RecordClaim RecordKind = iota + 1
	// RecordAnswer: the service answered; the record contains the answer.
	RecordAnswer
	// RecordUnconfirmed: the dispatch ended without an answer; the action may
	// have run.
	RecordUnconfirmed
	// RecordRelease: the claim was released before any byte was sent.
	RecordRelease
)

// Record is one state change of an action.
type Record struct {
	Kind        RecordKind
	Key         uuid.UUID
	Fingerprint uint64
	// Result is set for RecordAnswer.
	Result Result
}

// Segment is one value of the journal, written by one append.
type Segment struct {
	Holder string
	// Nonce identifies the takeover by which the holder got the slot; it changes
	// with each takeover.
	Nonce uint64
	// Horizon is a Unix time in milliseconds. Keys issued before it may be
	// missing from the journal and must never be claimed again. It never
	// decreases.
	Horizon int64
	// Compacted is set when the records start with the state of every action
	// that has records in the segments since the last compacted one.
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

// recordable returns a result as stored in the journal, without headers and body
// if they exceed limit bytes.
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
