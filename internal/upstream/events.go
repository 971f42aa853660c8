package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// ErrEventTooLong means that an event did not end within the bound.
var ErrEventTooLong = errors.New("an event of the stream exceeds 1 MiB: the instance's answer is broken off")

// Event is one event of a stream as it came, with its closing blank line.
type Event struct {
	Raw []byte
	// ID is the event's id, empty when it has none.
	ID string
}

// EventReader splits a stream into whole events. An event that is cut off is
// never returned.
type EventReader struct {
	reader *bufio.Reader
	raw    []byte
}

// NewEventReader returns a reader of a stream's body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBuffer)}
}

// Buffered reports whether more bytes are at hand without a read.
func (r *EventReader) Buffered() bool { return r.reader.Buffered() > 0 }

// Next returns the next event; Raw is valid until the next call. The error is
// io.EOF at the end of a stream between two events, and io.ErrUnexpectedEOF
// within one.
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

// readLine appends one line with its end.
func (r *EventReader) readLine() error {
	for {
		part, err := r.reader.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxEvent {
			return ErrEventTooLong
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}
