package callers

import (
	"bufio"
	"io"
	"strings"
)

// maxLineBytes is the size limit of one line of a stream.
const maxLineBytes = 1 << 20

// event is one server-sent event.
type event struct {
	id   string
	name string
	data string
}

// eventReader reads server-sent events.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &eventReader{scanner: scanner}
}

// next returns the next event that has data. It returns io.ErrUnexpectedEOF at
// the end of the stream, because a complete stream ends with a final event, after
// which next isn't called.
func (r *eventReader) next() (event, error) {
	var e event
	for r.scanner.Scan() {
		line := r.scanner.Text()
		if line == "" && e.data != "" {
			return e, nil
		}
		e.addLine(line)
	}
	if err := r.scanner.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.ErrUnexpectedEOF
}

func (e *event) addLine(line string) {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "id":
		e.id = value
	case "event":
		e.name = value
	case "data":
		e.data += value
	}
}
