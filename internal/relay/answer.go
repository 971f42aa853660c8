package relay

import (
	"strings"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// Answer receives one answer, in order. An error means that the caller has
// gone.
type Answer interface {
	// Head is called once, before the first token or body part.
	Head(head *peerpb.ResponseHead) error
	// Token passes on the next token of a chat.
	Token(position Position, text string) error
	// Body passes on the next part of a service's response.
	Body(data []byte) error
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
