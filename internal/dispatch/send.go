package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/attempt"
	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/routing"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

const (
	// maxWhole bounds an answer that is held before it is passed on.
	maxWhole = 32 << 20
	// maxForeign is the number of answers to other calls that are passed over on
	// one connection, and maxForeignBody their size.
	maxForeign     = 2
	maxForeignBody = 1 << 20
	// readSlack is added to the deadline of reads, so that a read that fails for
	// the call's deadline does so after it and is told from a broken connection.
	readSlack = time.Millisecond
)

// sent is what came of one send.
type sent struct {
	// answered is set when the caller has its whole answer, or the end of it.
	answered bool
	progress attempt.Progress
	result   instances.Result
	// reason says what failed, for the log.
	reason string
}

func failed(progress attempt.Progress, result instances.Result, reason string) sent {
	return sent{progress: progress, result: result, reason: reason}
}

// send sends the call to one instance and passes its answer on.
func (r *run) send(p *pick) sent {
	ctx, span := telemetry.StartSpan(r.ctx, "send")
	defer telemetry.EndSpan(span, nil)
	options := r.dispatcher.options
	conn, err := r.connect(ctx, p)
	if err != nil {
		result := instances.Unreachable
		if !time.Now().Before(r.deadline) {
			// The call ran out of time; that says nothing about the instance.
			result = instances.Late
		} else {
			options.Balancer.report(p, r.route, result, 0)
		}
		return failed(attempt.Unsent, result, err.Error())
	}
	e := &exchange{run: r, pick: p, conn: conn, began: time.Now()}
	s := e.exchange(ctx)
	e.report(s)
	return s
}

// connect gets a connection within the call's time. Its error is
// upstream.ErrUnreachable.
func (r *run) connect(ctx context.Context, p *pick) (*upstream.Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	return r.dispatcher.options.Pool.Get(ctx, p.instance.Address)
}

// exchange is one send over one connection.
type exchange struct {
	run   *run
	pick  *pick
	conn  *upstream.Conn
	began time.Time
	// firstByte is when the answer began, zero before.
	firstByte time.Time
	silence   *silence
	// unwatch ends the closing of the connection with the caller's context; it
	// is false when the connection was closed.
	unwatch   func() bool
	reply     call.Reply
	keepAlive time.Duration
}

func (e *exchange) exchange(ctx context.Context) sent {
	e.unwatch = e.conn.CloseOnDone(ctx)
	defer e.unwatch()
	e.conn.SetReadDeadline(e.run.deadline.Add(readSlack))
	if err := e.conn.Send(e.request()); err != nil {
		e.conn.Close()
		return failed(attempt.MayHaveRun, instances.Broken, err.Error())
	}
	e.silence = e.watchSilence()
	defer e.silence.stop()
	response, err := e.head()
	if err != nil {
		e.conn.Close()
		return e.broken(err)
	}
	return e.pass(response)
}

func (e *exchange) request() *upstream.Request {
	r := e.run
	send := call.Send{
		Instance: e.pick.instance.ID, Workspace: r.workspaceName(), TimeLeft: time.Until(r.deadline),
		Priority: routing.Priority(r.route, r.workspace), FetchFrom: e.pick.fetchFrom, ResumeAfter: r.stream.lastID,
	}
	return &upstream.Request{
		Method: r.call.Method, Host: r.call.Host, Target: r.call.Target,
		Header: r.dispatcher.options.Codec.EncodeRequest(r.call, send), Body: r.call.Body,
	}
}

// head reads the head of this call's answer. Answers to other calls that came
// late on the connection are passed over.
func (e *exchange) head() (*http.Response, error) {
	for range maxForeign + 1 {
		response, err := e.conn.ReadHead(e.run.call.Method)
		if err != nil {
			return nil, err
		}
		e.reply = e.run.dispatcher.options.Codec.DecodeReply(response.StatusCode, response.Header)
		if e.reply.CallID == "" || e.reply.CallID == e.run.call.ID {
			return response, nil
		}
		if err := upstream.Discard(response, maxForeignBody); err != nil {
			return nil, err
		}
	}
	return nil, errors.Wrap(upstream.ErrBroken, "too many answers to other calls")
}

// pass decides what the answer's head means and passes the answer on.
func (e *exchange) pass(response *http.Response) sent {
	e.keepAlive = upstream.KeepAliveTimeout(response)
	e.run.dispatcher.options.Balancer.heardLoad(e.pick, e.reply.Load)
	switch {
	case e.reply.NotRun:
		return e.passNotRun(response)
	case response.StatusCode < http.StatusBadRequest && (e.reply.CallID == "" || !e.reply.Signed), e.reply.Encoded:
		e.conn.Close()
		return failed(attempt.MayHaveRun, instances.Broken, "the answer does not belong to the call")
	case e.reply.EventStream && response.StatusCode == http.StatusOK:
		return e.passStream(response)
	default:
		return e.passWhole(response)
	}
}

func (e *exchange) passNotRun(response *http.Response) sent {
	if err := upstream.Discard(response, maxForeignBody); err != nil {
		e.conn.Close()
	} else {
		e.release()
	}
	if e.reply.WrongInstance {
		return failed(attempt.NotRun, instances.Replaced, "another instance has the address")
	}
	return failed(attempt.NotRun, instances.Shed, "status "+strconv.Itoa(response.StatusCode))
}

// passWhole holds an answer until it is complete.
func (e *exchange) passWhole(response *http.Response) sent {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWhole+1))
	if err == nil && len(body) > maxWhole {
		err = errors.Wrap(upstream.ErrBroken, "the answer exceeds 32 MiB")
	}
	if err != nil {
		e.conn.Close()
		return e.broken(err)
	}
	e.firstByte = time.Now()
	e.release()
	result := instances.Succeeded
	if response.StatusCode >= http.StatusInternalServerError {
		result = instances.Failed
	}
	answer := &wholeAnswer{status: response.StatusCode, header: response.Header, body: body}
	if result == instances.Failed && e.run.route.Repeatable() {
		// Another instance may do better; if none does, the caller gets this.
		e.run.failure = answer
		return failed(attempt.MayHaveRun, result, "status "+strconv.Itoa(response.StatusCode))
	}
	if e.reply.ImpliesNotRun && !e.run.route.Repeatable() {
		// The status would tell the caller that the call has not run, which the
		// instance did not state.
		return failed(attempt.MayHaveRun, result, "status "+strconv.Itoa(response.StatusCode)+" without a statement")
	}
	e.run.answer(answer)
	return sent{answered: true, result: result}
}

// broken classifies an answer that ended too early.
func (e *exchange) broken(err error) sent {
	if e.silence.gaveUp() {
		return failed(attempt.MayHaveRun, instances.Silent, "nothing came within "+e.silence.patience.String())
	}
	if !time.Now().Before(e.run.deadline) {
		return failed(attempt.MayHaveRun, instances.Late, "deadline reached: "+err.Error())
	}
	return failed(attempt.MayHaveRun, instances.Broken, err.Error())
}

// release gives the connection back. Nothing of this exchange may close it from
// then on: another call may use it.
func (e *exchange) release() {
	if !e.unwatch() || !e.silence.stop() {
		e.conn.Close()
		return
	}
	e.run.dispatcher.options.Pool.Release(e.conn, e.keepAlive)
}

// report tells the balancer what the send says about the instance.
func (e *exchange) report(s sent) {
	if e.run.ctx.Err() != nil && !s.answered {
		// The caller left; that says nothing about the instance.
		return
	}
	b := e.run.dispatcher.options.Balancer
	took := time.Duration(0)
	if !e.firstByte.IsZero() {
		took = e.firstByte.Sub(e.began)
		e.run.dispatcher.metrics.firstByte.Update(microseconds(took))
	}
	if e.pick.unread > 0 {
		// The time depends on what had to be read.
		took = 0
	}
	b.report(e.pick, e.run.route, s.result, took)
	switch {
	case s.answered:
		b.finished(e.run.fingerprint)
	case s.result == instances.Broken:
		go e.checkCrash()
	}
}

// checkCrash looks whether the instance of a broken connection has gone down:
// then the call may have been the cause.
func (e *exchange) checkCrash() {
	conn, err := e.run.dispatcher.options.Pool.Dial(context.WithoutCancel(e.run.ctx), e.pick.instance.Address)
	if err != nil {
		e.run.dispatcher.options.Balancer.report(e.pick, e.run.route, instances.Unreachable, 0)
		e.run.dispatcher.options.Balancer.crashed(e.pick, e.run.fingerprint)
		return
	}
	e.run.dispatcher.options.Pool.Release(conn, 0)
}
