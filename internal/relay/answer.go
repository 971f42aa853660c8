package relay

import (
	"strings"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// AnswerWriter writes one answer to its caller, in order. An error means that
// the caller has disconnected.
type AnswerWriter interface {
	// WriteHead is called once, before the first token or body part.
	WriteHead(head *peerpb.ResponseHead) error
	// WriteToken sends the next token of a chat.
	WriteToken(position Position, text string) error
	// WriteBody sends the next part of a service's response.
	WriteBody(data []byte) error
	// End is called once, after the complete answer.
	End(end *peerpb.AnswerEnd) error
}

// progress is the part of a chat answer that the caller has received, and the
// stream from which the rest can be resumed.
type progress struct {
	text   strings.Builder
	tokens uint32
	// stream is the position of the latest token; zero before the first one and
	// when another engine has to continue the answer.
	stream Position
	// failed are the upstreams that failed or take no new work; they aren't tried
	// again in this call.
	failed []string
}

func (p *progress) record(position Position, text string) {
	p.text.WriteString(text)
	p.tokens++
	p.stream = position
}
