package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/memquota"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// ErrEventTooLong means that an event exceeds maxEventBytes. It is a kind of
// ErrTooLong.
var ErrEventTooLong = errors.Wrap(ErrTooLong, "an event of the stream exceeds 1 MiB")

// ErrMalformedEvent means that a line in a stream is neither a field nor a comment: it
// belongs to something else, such as an error message or the head of another response. It
// is a kind of ErrBroken.
var ErrMalformedEvent = errors.Wrap(ErrBroken, "a line of the stream is no field of an event")

// Event is one server-sent event.
type Event struct {
	// Raw is the event as received, including the blank line at its end.
	Raw []byte
	// ID is the value of the event's id field, empty if it has none.
	ID string
	// HasData is set if the event has a data field.
	HasData bool
}

// EventReader splits a stream into complete events. It never returns a
// truncated event.
type EventReader struct {
	reader *bufio.Reader
	raw    []byte
	// memory bounds raw together with the other messages that the process buffers.
	memory *memquota.Reservation
	// overlong counts events that exceed a limit.
	overlong metrics.Counter
}

// ReadEvents returns a reader of the events in the body of a response on this
// connection. The events' memory counts towards a quota.
func (c *Conn) ReadEvents(response *http.Response, memory *memquota.Reservation) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(response.Body, readBufferSize), memory: memory, overlong: c.overlong}
}

// Buffered reports whether Next can return another event without reading from the body.
func (r *EventReader) Buffered() bool {
	// Peek doesn't fail or read for bytes that are buffered.
	buffered, _ := r.reader.Peek(r.reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// Next returns the next event. Raw is valid until the next call of Next. The
// error is io.EOF if the stream ends after a complete event, io.ErrUnexpectedEOF if it
// ends within an event, ErrMalformedEvent, and ErrTooLong if an event exceeds a limit.
func (r *EventReader) Next() (Event, error) {
	r.raw = r.raw[:0]
	event := Event{}
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			if err == io.EOF && len(bytes.TrimRight(r.raw, "\r\n")) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if !isFieldOrComment(line) {
			return Event{}, ErrMalformedEvent
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			event.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
		event.HasData = event.HasData || bytes.HasPrefix(line, []byte("data:"))
		if len(line) == 0 && start > 0 {
			event.Raw = r.raw
			return event, nil
		}
	}
}

// isFieldOrComment reports whether a line without its ending can be part of an event: a
// field name of letters, digits, hyphens and underscores, alone or before a colon, or a
// comment, which begins with a colon.
func isFieldOrComment(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// readLine appends one line, including its line ending, to r.raw.
func (r *EventReader) readLine() error {
	for {
		part, err := r.reader.ReadSlice('\n')
		if err := r.grow(len(r.raw) + len(part)); err != nil {
			return err
		}
		r.raw = append(r.raw, part...)
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// grow makes sure that an event may take size bytes.
func (r *EventReader) grow(size int) error {
	if size > maxEventBytes {
		r.overlong.Inc(1)
		return ErrEventTooLong
	}
	if err := r.memory.Grow(int64(size)); err != nil {
		r.overlong.Inc(1)
		return errors.Wrap(ErrTooLong, err.Error())
	}
	return nil
}
