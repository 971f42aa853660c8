package dispatch

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/attempt"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// forwardStream forwards events as they arrive. The caller's response starts with
// the first event, so that a call whose stream fails before it can still be
// retried.
func (e *exchange) forwardStream(response *http.Response) attemptResult {
	reader := e.conn.ReadEvents(response, e.run.reserve())
	for {
		event, err := reader.Next()
		if err == io.EOF {
			return e.endStream(response)
		}
		if err != nil {
			return e.failStream(e.classifyReadError(err))
		}
		e.recordEvent()
		pass, err := e.isNext(event)
		if err != nil {
			return e.failStream(failedAttempt(attempt.MayHaveRun, e.blame(err), err.Error()))
		}
		if !pass {
			continue
		}
		e.recordOrigin()
		if err := e.forwardEvent(response, event, !reader.Buffered()); err != nil {
			e.conn.Close()
			e.run.endCanceled(attempt.MayHaveRun)
			return attemptResult{responded: true, result: instances.Succeeded, reason: err.Error()}
		}
	}
}

// failStream ends an attempt whose stream has failed. The caller gets the events before at
// once: another attempt may take a while, or there is none.
func (e *exchange) failStream(s attemptResult) attemptResult {
	e.conn.Close()
	if e.run.stream.started {
		// The error is ignored: a caller that has disconnected ends the context, too.
		_ = e.run.out.Flush()
	}
	return s
}

// blame returns the result of an attempt whose stream doesn't go on as it should. A position
// that the caller names may be one that it never had.
func (e *exchange) blame(err error) instances.Result {
	if errors.Is(err, errNotContinued) && !e.resumes {
		return instances.Late
	}
	return instances.Broken
}

func (e *exchange) recordEvent() {
	if e.firstByte.IsZero() {
		e.firstByte = time.Now()
		e.run.dispatcher.options.Balancer.recordFirstByte(e.pick)
	}
	e.timeout.reset()
}

func (e *exchange) forwardEvent(response *http.Response, event upstream.Event, flush bool) error {
	position := &e.run.stream
	if !position.started {
		position.started = true
		e.run.status = response.StatusCode
		e.run.out.StartStream(response.StatusCode, response.Header)
	}
	if err := e.run.out.WriteEvent(event.Raw, flush); err != nil {
		return err
	}
	position.advance(event)
	if !position.resumable() {
		// Another instance can't go on with the stream, so that this one's may pause.
		e.timeout.stop()
	}
	return nil
}

// endStream ends the caller's stream after the instance has ended its own at an
// event boundary. A stream that ends without an event, or before the caller's position
// in it, isn't the whole one.
func (e *exchange) endStream(response *http.Response) attemptResult {
	if e.firstByte.IsZero() {
		e.conn.Close()
		return failedAttempt(attempt.MayHaveRun, instances.Broken, "stream ended without an event")
	}
	if e.resumes && !e.reached {
		e.conn.Close()
		return failedAttempt(attempt.MayHaveRun, instances.Broken, "resumed stream ended before event "+e.run.stream.lastID)
	}
	if err := e.confirmEnd(); err != nil {
		e.conn.Close()
		return failedAttempt(attempt.MayHaveRun, instances.Broken, err.Error())
	}
	e.release()
	e.run.outcome, e.run.status = "answered", response.StatusCode
	e.run.out.EndStream()
	return attemptResult{responded: true, whole: true, result: instances.Succeeded}
}

// refuseContinuation ends an attempt whose response isn't the rest of the caller's stream.
// Nothing of it may reach the caller, and the caller need not wait for its end.
func (e *exchange) refuseContinuation(response *http.Response) attemptResult {
	e.conn.Close()
	return failedAttempt(attempt.MayHaveRun, instances.Failed,
		"status "+strconv.Itoa(response.StatusCode)+", type "+strconv.Quote(response.Header.Get("Content-Type"))+" in place of the rest of a stream")
}

// isNext reports whether an event has to be forwarded: false for comments before the
// first event of a resumed stream. An event that doesn't go on from the caller's position,
// or isn't in the order of the others, is an error.
func (e *exchange) isNext(event upstream.Event) (bool, error) {
	position := e.run.stream
	switch {
	case event.ID == "" && e.resumes && event.HasData:
		return false, errUnplacedEvent
	case event.ID == "":
		return !e.resumes || e.reached, nil
	case position.lastID == "":
		return true, nil
	}
	last, lastErr := strconv.ParseInt(position.lastID, 10, 64)
	next, nextErr := strconv.ParseInt(event.ID, 10, 64)
	if e.resumes && (lastErr == nil) != (nextErr == nil) {
		return false, errUnplacedEvent
	}
	if lastErr != nil || nextErr != nil {
		// Non-numeric IDs have no order to check.
		e.reached = true
		return true, nil
	}
	if err := e.checkNumber(last, next, event); err != nil {
		return false, err
	}
	e.reached = true
	return true, nil
}

// checkNumber checks that an event's number is the one after the last if the router goes on
// with a stream, and else that it is a higher one.
func (e *exchange) checkNumber(last, next int64, event upstream.Event) error {
	switch {
	case next == last+1:
		return nil
	case next <= last:
		e.recordOutOfOrder(e.run.dispatcher.metrics.repeatedEvents, event)
		if e.after != "" && !e.reached {
			return errors.Wrapf(errNotContinued, "event %d after event %d", next, last)
		}
		return errors.Wrapf(errRepeated, "event %d after event %d", next, last)
	}
	e.recordOutOfOrder(e.run.dispatcher.metrics.skippedEvents, event)
	if e.resumes {
		return errors.Wrapf(errGap, "event %d after event %d", next, last)
	}
	return nil
}

// recordOutOfOrder counts an event whose number doesn't follow that of the event before it,
// and logs the first one.
func (e *exchange) recordOutOfOrder(counter metrics.Counter, event upstream.Event) {
	counter.Inc(1)
	if e.outOfOrder {
		return
	}
	e.outOfOrder = true
	e.run.dispatcher.options.Log.Decision("stream event out of order", decisionlog.Fields{
		"call": e.run.call.ID, "instance": e.pick.instance.ID, "event": event.ID, "after": e.run.stream.lastID,
		"events": e.run.stream.events, "failed_sends": e.run.attempts, "caller_resumes_after": e.run.call.ResumeAfter,
	})
}
