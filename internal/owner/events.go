package owner

import (
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineclient"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// errSink marks errors returned by the sink: the response is no longer read.
var errSink = errors.New("response is no longer read")

func isSinkError(err error) bool { return errors.Is(err, errSink) }

func sinkError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(errSink, err.Error())
}

func (r *chatRun) sendHead(streamID string) error {
	head := &peerpb.ResponseHead{
		Upstream: r.target.declared.Name, StreamId: streamID,
		BaseToken: r.baseToken, StreamRequestId: r.requestID,
	}
	return sinkError(r.sink(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Head{Head: head}}))
}

func (r *chatRun) sendToken(token engineclient.Token) error {
	chunk := &peerpb.TokenChunk{Index: r.baseToken + token.Index, Text: token.Text}
	return sinkError(r.sink(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Token{Token: chunk}}))
}

func (r *chatRun) sendEnd(finish engineclient.Finish) error {
	usage := finish.Usage
	r.owner.Metrics.PromptTokens.Inc(int64(usage.PromptTokens))
	r.owner.Metrics.CachedTokens.Inc(int64(usage.PromptTokensDetails.CachedTokens))
	end := &peerpb.AnswerEnd{
		FinishReason: finish.Reason, PromptTokens: uint32(usage.PromptTokens),
		CachedTokens:     uint32(usage.PromptTokensDetails.CachedTokens),
		CompletionTokens: uint32(usage.CompletionTokens),
	}
	return sinkError(r.sink(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_End{End: end}}))
}

func waitingEvent() *peerpb.ForwardEvent {
	return &peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Waiting{Waiting: &peerpb.Waiting{}}}
}
