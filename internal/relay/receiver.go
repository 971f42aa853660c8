package relay

import (
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// receiver passes the events of one attempt to the caller. Tokens that the
// caller has already received are skipped.
type receiver struct {
	session *session
	attempt attempt
	head    *peerpb.ResponseHead
}

func (r *receiver) receive(event *peerpb.ForwardEvent) error {
	switch e := event.GetEvent().(type) {
	case *peerpb.ForwardEvent_Head:
		return r.onHead(e.Head)
	case *peerpb.ForwardEvent_Token:
		return r.onToken(e.Token)
	case *peerpb.ForwardEvent_Body:
		return callerError(r.session.answer.WriteBody(e.Body.GetData()))
	case *peerpb.ForwardEvent_End:
		return callerError(r.session.answer.End(e.End))
	default:
		return nil
	}
}

func (r *receiver) onHead(head *peerpb.ResponseHead) error {
	r.head = head
	s := r.session
	s.dispatched = true
	if s.call.Chat != nil {
		s.relay.Planner.RecordUpstream(s.plan, head.GetUpstream())
	}
	if s.headSent {
		return nil
	}
	s.headSent = true
	return callerError(s.answer.WriteHead(head))
}

func (r *receiver) onToken(token *peerpb.TokenChunk) error {
	s := r.session
	if token.GetIndex() < s.progress.tokens {
		return nil
	}
	if token.GetIndex() > s.progress.tokens {
		return errors.Wrap(ErrConnectionLost, "gap in the token sequence")
	}
	position := Position{
		Engine: r.head.GetUpstream(), Stream: r.head.GetStreamId(), Request: r.head.GetStreamRequestId(),
		Base: r.head.GetBaseToken(), Index: token.GetIndex(),
	}
	s.progress.record(position, token.GetText())
	return callerError(s.answer.WriteToken(position, token.GetText()))
}

func callerError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(errCallerDisconnected, err.Error())
}
