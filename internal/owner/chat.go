package owner

import (
	"context"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/verbenatrail/verbenatrail/internal/engineclient"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

// maxResumes limits consecutive reconnections to an engine that yield no token.
const maxResumes = 5

// chatRun relays one response stream from its engine to a sink.
type chatRun struct {
	owner     *Owner
	target    *target
	requestID string
	// streamID is the stream ID that the engine was asked to use.
	streamID  string
	baseToken uint32
	// received is the number of tokens of this stream read so far.
	received uint32
	// resumes counts reconnections since the last token.
	resumes int
	sink    Sink
	// onToken is called after each token.
	onToken func()
}

func (o *Owner) serveChat(ctx context.Context, request *peerpb.ForwardRequest, t *target,
	call *peerpb.ChatCall, sink Sink) error {
	if t.leaving {
		return refusal.New(refusal.Leaving, "engine "+t.declared.Name+" is leaving: try another").WithRetryAfter(retryAfterBusy)
	}
	body, err := engineBody(call)
	if errors.Is(err, errNoTokensLeft) {
		return sendCompleted(sink, t.declared.Name, call)
	}
	if err != nil {
		return refusal.New(refusal.BadRequest, "the chat request is no valid JSON: "+err.Error())
	}
	slot, refused := o.admit(ctx, request, t, sink)
	if refused != nil {
		return refused
	}
	run := &chatRun{
		owner: o, target: t, requestID: request.GetRequestId(), streamID: uuid.NewString(),
		baseToken: call.GetGeneratedTokens(), sink: sink,
	}
	priority := fleet.Priority(request.GetPriority()).String()
	ctx, span := telemetry.StartSpan(ctx, "engine.stream", attribute.String("engine", t.declared.Name))
	defer span.End()
	ctx, started := slot.gate.firstTokenContext(ctx)
	defer started()
	run.onToken = started
	stream, err := o.Engines.Start(ctx, t.address, engineclient.IDs{RequestID: run.requestID, StreamID: run.streamID}, priority, body)
	if err != nil {
		failure := run.startFailure(err)
		slot.release(EndIncomplete)
		return failure
	}
	o.ReportConn(t.declared.Name, membership.ConnOK)
	return run.serve(ctx, stream, slot)
}

func (o *Owner) serveResume(ctx context.Context, request *peerpb.ForwardRequest, t *target,
	call *peerpb.ResumeCall, sink Sink) error {
	run := &chatRun{
		owner: o, target: t, requestID: call.GetStreamRequestId(),
		baseToken: call.GetBaseToken(),
		received:  call.GetAfterToken(), sink: sink, onToken: func() {},
	}
	slot := o.detached.take(call.GetStreamId())
	if slot == nil {
		slot = o.resumedSlot(o.gates.gate(t.declared), identityOf(request))
	}
	stream, err := o.Engines.Resume(ctx, t.address, run.requestID, call.GetStreamId(), run.received)
	if err != nil {
		failure := run.resumeFailure(err)
		slot.release(EndIncomplete)
		return failure
	}
	return run.serve(ctx, stream, slot)
}

// sendCompleted sends the end of a response whose last token arrived before its
// engine failed.
func sendCompleted(sink Sink, upstream string, call *peerpb.ChatCall) error {
	head := &peerpb.ResponseHead{Upstream: upstream, BaseToken: call.GetGeneratedTokens()}
	if err := sink(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Head{Head: head}}); err != nil {
		return sinkError(err)
	}
	end := &peerpb.AnswerEnd{FinishReason: finishLength, CompletionTokens: call.GetGeneratedTokens()}
	return sinkError(sink(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_End{End: end}}))
}

// finishLength is the finish reason of a response that reached max_tokens.
const finishLength = "length"

// serve forwards the stream to the sink. If the connection breaks, it resumes the
// stream on a new one for as long as the engine retains it.
func (r *chatRun) serve(ctx context.Context, stream *engineclient.Stream, slot *slot) error {
	streamID := stream.ID
	if err := r.sendHead(streamID); err != nil {
		r.detach(stream, slot)
		return err
	}
	for {
		err := r.forwardTokens(stream)
		if err == nil {
			slot.release(EndComplete)
			return r.sendEnd(stream.Finish())
		}
		if isSinkError(err) || ctx.Err() != nil {
			r.detach(stream, slot)
			return err
		}
		stream.Close()
		next, err := r.reopen(ctx, streamID, err)
		if err != nil {
			failure := r.resumeFailure(err)
			if errors.Is(err, engineclient.ErrStalled) {
				slot.gate.failFirstTokenWaits()
				r.owner.abandoned.add(r.target.address, streamID)
			}
			slot.release(EndIncomplete)
			return failure
		}
		stream = next
	}
}

// forwardTokens forwards tokens to the sink. It returns nil at the end of the
// response.
func (r *chatRun) forwardTokens(stream *engineclient.Stream) error {
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			stream.Close()
			return nil
		}
		if err != nil {
			return err
		}
		r.received = token.Index + 1
		r.resumes = 0
		r.onToken()
		if err := r.sendToken(token); err != nil {
			return err
		}
	}
}

func (r *chatRun) reopen(ctx context.Context, streamID string, cause error) (*engineclient.Stream, error) {
	r.owner.Metrics.StreamsBroken.Inc(1)
	if r.resumes >= maxResumes || streamID == "" {
		return nil, cause
	}
	r.resumes++
	stream, err := r.owner.Engines.Resume(ctx, r.target.address, r.requestID, streamID, r.received)
	if err != nil {
		return nil, err
	}
	r.owner.Metrics.StreamsResumed.Inc(1)
	stream.ID = streamID
	return stream, nil
}

// startFailure reports the failure to start a stream and returns its refusal.
func (r *chatRun) startFailure(err error) error {
	name := r.target.declared.Name
	switch {
	case errors.Is(err, engineclient.ErrUnreachable):
		r.owner.ReportConn(name, membership.ConnRefused)
		return refusal.New(refusal.UpstreamFailed, "engine "+name+" can't be reached: try another").WithRetryAfter(retryAfterFailure)
	case errors.Is(err, engineclient.ErrLeaving):
		r.owner.ReportConn(name, membership.ConnLeaving)
		return refusal.New(refusal.Leaving, "engine "+name+" is leaving: try another").WithRetryAfter(retryAfterBusy)
	case errors.Is(err, engineclient.ErrRejected):
		return refusal.New(refusal.UpstreamFailed, "engine "+name+" rejected the request: try another").WithRetryAfter(retryAfterFailure)
	case errors.Is(err, engineclient.ErrConnectionLost) && r.owner.hasCrashed(name):
		r.owner.reportCrash(name)
		return r.crashRefusal()
	default:
		r.owner.abandoned.add(r.target.address, r.streamID)
		r.owner.ReportConn(name, membership.ConnIncomplete)
		return refusal.NewUnknown(refusal.UpstreamFailed, "engine "+name+" doesn't answer: try another").WithRetryAfter(retryAfterFailure)
	}
}

// resumeFailure reports that a stream can't be resumed at its engine and returns
// its refusal.
func (r *chatRun) resumeFailure(err error) error {
	name := r.target.declared.Name
	lost := errors.Is(err, engineclient.ErrUnreachable) || errors.Is(err, engineclient.ErrConnectionLost)
	if lost && r.owner.hasCrashed(name) {
		r.owner.reportCrash(name)
		return r.crashRefusal()
	}
	if errors.Is(err, engineclient.ErrStreamGone) {
		return refusal.NewUnknown(refusal.StreamLost, "engine "+name+" no longer holds the stream: start the answer again")
	}
	if lost || errors.Is(err, engineclient.ErrStalled) {
		r.owner.ReportConn(name, membership.ConnIncomplete)
	}
	return refusal.NewUnknown(refusal.UpstreamFailed, "engine "+name+" stopped in the middle of an answer: go on at another").
		WithRetryAfter(retryAfterFailure)
}

func (r *chatRun) crashRefusal() error {
	name := r.target.declared.Name
	refused := refusal.NewUnknown(refusal.UpstreamFailed, "engine "+name+" broke off while it ran the request: go on at another").
		WithRetryAfter(retryAfterFailure)
	refused.UpstreamCrashed = true
	refused.Upstream = name
	return refused
}

// hasCrashed reports whether an engine whose connection broke has crashed. One that still
// answers has not, nor one that is silent or no longer listed.
func (o *Owner) hasCrashed(upstream string) bool {
	err := o.checkHealth(context.Background(), upstream)
	return err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, errNotListed)
}

func (o *Owner) reportCrash(upstream string) {
	o.Metrics.Crashes.Inc(1)
	o.ReportConn(upstream, membership.ConnCrashed)
	o.Guard.Crash(time.Now(), upstream)
}
