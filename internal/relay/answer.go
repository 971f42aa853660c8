package relay

import (
	"strings"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// AnswerWriter receives one answer, in order. An error means that the caller has
// gone.
type AnswerWriter interface {
	// WriteHead is called once, before the first token or body part.
	WriteHead(head *peerpb.ResponseHead) error
	// WriteToken passes on the next token of a chat.
	WriteToken(position Position, text string) error
	// WriteBody passes on the next part of a service's response.
	WriteBody(data []byte) error
	// End is called once, after the whole answer.
	End(end *peerpb.AnswerEnd) error
}

// progress is what a caller has received of one chat answer, and where the
// rest can be had.
type progress struct {
	text   strings.Builder
	tokens uint32
	// stream is where the latest token came from; empty before the first.
	stream Position
	// failed are the upstreams that broke off or refused during this call.
	failed []string
}

func (p *progress) record(position Position, text string) {
	p.text.WriteString(text)
	p.tokens++
	p.stream = position
}
