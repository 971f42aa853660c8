package dispatch

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/attempt"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// passStream passes events on as they come. The caller's answer begins with
// the first event, so that a stream without any can still go elsewhere.
func (e *exchange) passStream(response *http.Response) sent {
	reader := upstream.NewEventReader(response.Body)
	for {
		event, err := reader.Next()
		if err == io.EOF {
			return e.endStream(response)
		}
		if err != nil {
			e.conn.Close()
			return e.broken(err)
		}
		e.heardEvent()
		pass, err := e.inOrder(event.ID)
		if err != nil {
			e.conn.Close()
			return failed(attempt.MayHaveRun, instances.Broken, err.Error())
		}
		if !pass {
			continue
		}
		if err := e.passEvent(response, event, !reader.Buffered()); err != nil {
			e.conn.Close()
			e.run.outcome = "abandoned"
			return sent{answered: true, result: instances.Succeeded, reason: err.Error()}
		}
	}
}

func (e *exchange) heardEvent() {
	if e.firstByte.IsZero() {
		e.firstByte = time.Now()
		e.run.dispatcher.options.Balancer.firstByte(e.pick)
	}
	e.silence.heard()
}

func (e *exchange) passEvent(response *http.Response, event upstream.Event, flush bool) error {
	position := &e.run.stream
	if !position.begun {
		position.begun = true
		e.run.status = response.StatusCode
		e.run.out.StartStream(response.StatusCode, response.Header)
	}
	if err := e.run.out.WriteEvent(event.Raw, flush); err != nil {
		return err
	}
	position.events++
	if event.ID != "" {
		position.lastID = event.ID
	}
	return nil
}

// endStream ends a stream that the instance ended between two events.
func (e *exchange) endStream(response *http.Response) sent {
	if e.run.stream.events == 0 && e.firstByte.IsZero() {
		e.conn.Close()
		return failed(attempt.MayHaveRun, instances.Broken, "the stream ended without an event")
	}
	e.release()
	if !e.run.stream.begun {
		e.run.stream.begun = true
		e.run.out.StartStream(response.StatusCode, response.Header)
	}
	e.run.outcome, e.run.status = "answered", response.StatusCode
	e.run.out.EndStream()
	return sent{answered: true, result: instances.Succeeded}
}

// inOrder reports whether an event is the next one. Events that the caller has
// already are passed over; a gap is an error.
func (e *exchange) inOrder(id string) (bool, error) {
	position := e.run.stream
	if id == "" || position.lastID == "" {
		return true, nil
	}
	last, err := strconv.ParseInt(position.lastID, 10, 64)
	if err != nil {
		return true, nil //nolint:nilerr // Ids that are no numbers have no order to check.
	}
	next, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true, nil //nolint:nilerr // As above.
	}
	switch {
	case next <= last:
		return false, nil
	case next > last+1 && e.run.sends > 0:
		return false, errGap
	default:
		return true, nil
	}
}
