package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// ErrEventTooLong means that an event exceeds maxEventBytes.
var ErrEventTooLong = errors.New("an event of the stream exceeds 1 MiB: the instance's response is aborted")

// Event is one server-sent event.
type Event struct {
	// Raw is the event as received, including the blank line at its end.
	Raw []byte
	// ID is the value of the event's id field, empty if it has none.
	ID string
}

// EventReader splits a stream into complete events. It never returns a
// truncated event.
type EventReader struct {
	reader *bufio.Reader
	raw    []byte
}

// NewEventReader returns a reader of the events in a response body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferSize)}
}

// Buffered reports whether the reader has buffered bytes that Next can use
// without reading from the body.
func (r *EventReader) Buffered() bool { return r.reader.Buffered() > 0 }

// Next returns the next event. Raw is valid until the next call of Next. The
// error is io.EOF if the stream ends after a complete event, and
// io.ErrUnexpectedEOF if it ends within an event.
func (r *EventReader) Next() (Event, error) {
	r.raw = r.raw[:0]
	event := Event{}
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			if err == io.EOF && len(r.raw) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			event.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
		if len(line) == 0 && start > 0 {
			event.Raw = r.raw
			return event, nil
		}
	}
}

// readLine appends one line, including its line ending, to r.raw.
func (r *EventReader) readLine() error {
	for {
		part, err := r.reader.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxEventBytes {
			return ErrEventTooLong
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}
