package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/attempt"
	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/routing"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

const (
	// maxBufferedBody is the size limit of responses that are buffered before they
	// are forwarded, in bytes. Options.Buffers may allow less.
	maxBufferedBody = 32 << 20
	// maxStaleResponses is the number of late responses to other calls that are
	// skipped on one connection, and maxStaleBody the size limit of each, in
	// bytes.
	maxStaleResponses = 2
	maxStaleBody      = 1 << 20
	// readSlack is added to the read deadline. A read that times out because of the
	// call's deadline thus fails after that deadline, which distinguishes it from
	// a broken connection.
	readSlack = time.Millisecond
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	// responded is set if the call is over for the caller: the response is
	// complete, or the caller has disconnected while it was written.
	responded bool
	// whole is set if the instance's response was a success, and complete.
	whole    bool
	progress attempt.Progress
	result   instances.Result
	// crashChecked is closed once it is known whether the instance of a broken connection
	// still runs; nil if the connection is not broken.
	crashChecked chan struct{}
	// reason is the cause of the failure, for the log.
	reason string
}

func failedAttempt(progress attempt.Progress, result instances.Result, reason string) attemptResult {
	return attemptResult{progress: progress, result: result, reason: reason}
}

// send makes one attempt: it sends the call to an instance and forwards the
// response.
func (r *run) send(p *pick) attemptResult {
	ctx, span := telemetry.StartSpan(r.ctx, "send")
	defer telemetry.EndSpan(span, nil)
	options := r.dispatcher.options
	conn, err := r.connect(ctx, p)
	if err != nil {
		result := instances.Unreachable
		if !time.Now().Before(r.deadline) || errors.Is(err, errUnproved) {
			// The call ran out of time, or the instance may have started again; that says
			// nothing about its health.
			result = instances.Late
		} else {
			options.Balancer.report(p, r.route, result, 0)
		}
		return failedAttempt(attempt.Unsent, result, err.Error())
	}
	if p.permitExpired() {
		r.dispatcher.metrics.expiredPermits.Inc(1)
		options.Pool.Release(conn, 0)
		return failedAttempt(attempt.Unsent, instances.Late, "the permit to send expired before the connection was open")
	}
	e := &exchange{run: r, pick: p, conn: conn, startedAt: time.Now(), after: r.stream.lastID, resumes: r.stream.started && r.stream.lastID != ""}
	r.framing = upstream.NoFraming
	s := e.exchange(ctx)
	e.report(&s)
	return s
}

// connect gets a connection before the call's deadline. Its error is
// upstream.ErrUnreachable or, for a call that goes on with a stream, errUnproved.
func (r *run) connect(ctx context.Context, p *pick) (*upstream.Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if r.requiredVersion() != "" {
		return r.connectToVersion(ctx, p)
	}
	return r.dispatcher.options.Pool.Get(ctx, p.instance.Address)
}

// exchange is the request and response of one attempt on one connection.
type exchange struct {
	run       *run
	pick      *pick
	conn      *upstream.Conn
	startedAt time.Time
	// firstByte is when the response started, zero before.
	firstByte time.Time
	timeout   *attemptTimeout
	// stopClose stops the closing of the connection at the end of the caller's
	// context. It returns false if the connection has been closed.
	stopClose func() bool
	reply     call.Reply
	keepAlive time.Duration
	// framing is how the end of the response's body is told.
	framing upstream.Framing
	// after is the ID of the event after which the stream is to go on, empty for one from its
	// beginning. The caller has the events up to it, of another attempt or of an earlier call.
	after string
	// reached is set once this attempt's stream has gone on after it, joined once that has
	// been recorded.
	reached, joined bool
	// resumes is set if the caller already has events of the stream in this response.
	resumes bool
	// outOfOrder is set once an event's number didn't follow that of the event before.
	outOfOrder bool
}

func (e *exchange) exchange(ctx context.Context) attemptResult {
	e.stopClose = e.conn.CloseOnDone(ctx)
	defer e.stopClose()
	e.conn.SetReadDeadline(e.run.deadline.Add(readSlack))
	if err := e.conn.Send(e.request()); err != nil {
		e.conn.Close()
		return failedAttempt(attempt.MayHaveRun, instances.Broken, err.Error())
	}
	e.timeout = e.startTimeout()
	defer e.timeout.stop()
	response, err := e.readHead()
	if err != nil {
		e.conn.Close()
		return e.classifyReadError(err)
	}
	return e.forward(response)
}

func (e *exchange) request() *upstream.Request {
	r := e.run
	a := call.Attempt{
		Instance: e.pick.instance.ID, Workspace: r.workspaceName(), TimeLeft: time.Until(r.deadline),
		Priority: routing.Priority(r.route, r.workspace), FetchFrom: e.pick.fetchFrom, ResumeAfter: r.stream.lastID,
	}
	return &upstream.Request{
		Method: r.call.Method, Host: r.call.Host, Target: r.call.Target,
		Header: r.dispatcher.options.Codec.EncodeRequest(r.call, a), Body: r.call.Body,
	}
}

// readHead reads the head of the response to this call. Late responses to other
// calls on the same connection are skipped.
func (e *exchange) readHead() (*http.Response, error) {
	for range maxStaleResponses + 1 {
		response, err := e.conn.ReadHead(e.run.call.Method)
		if err != nil {
			return nil, err
		}
		e.reply = e.run.dispatcher.options.Codec.DecodeReply(response.StatusCode, response.Header)
		e.recordReply()
		if e.reply.CallID == "" || e.reply.CallID == e.run.call.ID {
			return response, nil
		}
		if err := e.conn.Discard(response, maxStaleBody); err != nil {
			return nil, err
		}
	}
	return nil, errors.Wrap(upstream.ErrBroken, "too many late responses to other calls on the connection")
}

// recordReply records what the instance says of itself, in late responses, too. A
// response of another instance at the same address says nothing about this one.
func (e *exchange) recordReply() {
	if e.reply.WrongInstance {
		return
	}
	d := e.run.dispatcher
	if e.reply.InvalidPause != "" {
		d.metrics.invalidPauses.Inc(1)
		d.options.Log.Decision("invalid pause of an instance", decisionlog.Fields{
			"call": e.run.call.ID, "instance": e.pick.instance.ID, "value": e.reply.InvalidPause,
			"applied_ms": e.reply.Pause.Milliseconds(),
		})
	}
	if e.reply.InvalidRateLimit != "" {
		d.metrics.invalidRateLimits.Inc(1)
	}
	if e.reply.InvalidLoad != "" {
		d.metrics.invalidLoads.Inc(1)
		d.options.Log.Detail("invalid load of an instance", decisionlog.Fields{
			"call": e.run.call.ID, "instance": e.pick.instance.ID, "value": e.reply.InvalidLoad,
		})
	}
	d.options.Balancer.recordReply(e.pick, e.reply)
	d.options.Balancer.recordRateLimit(e.pick, e.run.call.ID, e.startedAt, e.reply)
}

// forward classifies the response by its head and forwards it.
func (e *exchange) forward(response *http.Response) attemptResult {
	e.keepAlive = upstream.KeepAliveTimeout(response)
	e.framing = upstream.FramingOf(response)
	e.run.framing = e.framing
	e.run.dispatcher.metrics.framed(e.framing).Inc(1)
	switch {
	case e.reply.NotRun:
		return e.forwardNotRun(response)
	case response.StatusCode < http.StatusBadRequest && (e.reply.CallID == "" || !e.reply.Signed), e.reply.Encoded:
		e.conn.Close()
		return failedAttempt(attempt.MayHaveRun, instances.Broken, "the response does not belong to the call")
	case e.reply.EventStream && response.StatusCode == http.StatusOK:
		return e.forwardStream(response)
	case e.run.stream.started:
		return e.refuseContinuation(response)
	default:
		return e.forwardBuffered(response)
	}
}

func (e *exchange) forwardNotRun(response *http.Response) attemptResult {
	err := e.conn.Discard(response, maxStaleBody)
	if err != nil {
		e.conn.Close()
	} else {
		e.release()
	}
	if e.reply.WrongInstance {
		return failedAttempt(attempt.NotRun, instances.Replaced, "the address belongs to another instance")
	}
	if errors.Is(err, upstream.ErrTooLong) {
		return failedAttempt(attempt.NotRun, instances.Broken, err.Error())
	}
	return failedAttempt(attempt.NotRun, instances.Shed, "status "+strconv.Itoa(response.StatusCode))
}

// forwardBuffered reads the complete response before it forwards it.
func (e *exchange) forwardBuffered(response *http.Response) attemptResult {
	body, err := e.conn.ReadBody(response, maxBufferedBody, e.run.reserve())
	if err != nil {
		e.conn.Close()
		return e.classifyReadError(err)
	}
	e.firstByte = time.Now()
	if err := e.confirmEnd(); err != nil {
		e.conn.Close()
		return failedAttempt(attempt.MayHaveRun, instances.Broken, err.Error())
	}
	e.release()
	result := instances.Succeeded
	if response.StatusCode >= http.StatusInternalServerError {
		result = instances.Failed
	}
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	if result == instances.Failed && e.run.route.Repeatable() {
		// Another instance may succeed; if none does, the caller gets this response.
		e.run.failure = buffered
		return failedAttempt(attempt.MayHaveRun, result, "status "+strconv.Itoa(response.StatusCode))
	}
	if e.reply.ImpliesNotRun && !e.run.route.Repeatable() {
		// The status would tell the caller that the call has not run, but the
		// instance did not state so explicitly.
		return failedAttempt(attempt.MayHaveRun, result, "status "+strconv.Itoa(response.StatusCode)+" without a statement that the call has not run")
	}
	e.run.respond(buffered)
	return attemptResult{responded: true, whole: response.StatusCode < http.StatusMultipleChoices, result: result}
}

// classifyReadError returns the attempt's result after an error while reading the
// response: the attempt's timeout, the call's deadline or a broken connection.
func (e *exchange) classifyReadError(err error) attemptResult {
	if e.timeout.hasExpired() {
		return failedAttempt(attempt.MayHaveRun, instances.Silent, "no data received within "+e.timeout.limit.String())
	}
	if !time.Now().Before(e.run.deadline) {
		return failedAttempt(attempt.MayHaveRun, instances.Late, "deadline reached: "+err.Error())
	}
	return failedAttempt(attempt.MayHaveRun, instances.Broken, err.Error())
}

// identified reports whether the response names this call. One that names none can't be
// told from a late copy of itself.
func (e *exchange) identified() bool { return e.reply.CallID != "" && e.reply.CallID == e.run.call.ID }

// release returns the connection to the pool. The exchange must not close it
// afterwards, since another call may be using it. After a response that doesn't name its
// call the connection is closed: an instance that sent the response once more would seem
// to answer the next call, of which it might say that it has not run.
func (e *exchange) release() {
	if !e.stopClose() || !e.timeout.stop() {
		e.conn.Close()
		return
	}
	if !e.identified() {
		e.run.dispatcher.metrics.unidentified.Inc(1)
		e.conn.Close()
		return
	}
	e.run.dispatcher.options.Pool.Release(e.conn, e.keepAlive)
}

// report passes the result of the attempt to the balancer.
func (e *exchange) report(s *attemptResult) {
	if e.run.ctx.Err() != nil && !s.responded {
		// The caller has disconnected; that says nothing about the instance.
		return
	}
	b := e.run.dispatcher.options.Balancer
	took := time.Duration(0)
	if !e.firstByte.IsZero() {
		took = e.firstByte.Sub(e.startedAt)
		e.run.dispatcher.metrics.firstByte.Update(microseconds(took))
	}
	if took > 0 || s.result == instances.Shed {
		b.recordConcurrency(e.pick, e.run.route.Objective, took)
	}
	if e.pick.prefillTokens > 0 {
		// The time depends on the prefill, so it is no measure of the instance's
		// speed.
		took = 0
	}
	b.report(e.pick, e.run.route, s.result, took)
	e.reportToContainment(s)
}

// reportToContainment records a whole response, or starts the check of an instance whose
// connection broke.
func (e *exchange) reportToContainment(s *attemptResult) {
	b := e.run.dispatcher.options.Balancer
	switch {
	case s.result == instances.Replaced:
		b.settleBroken(e.pick.instance.ID)
	case s.whole:
		b.recordCompletion(e.run.call, e.run.identity)
	case s.result == instances.Broken:
		checked := make(chan struct{})
		s.crashChecked = checked
		go func() {
			defer close(checked)
			e.checkBroken()
		}()
	}
}
