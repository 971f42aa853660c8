package relay

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrBadPosition means that an event id is not one that this fleet issues. Its
// text is sent to callers.
var ErrBadPosition = errors.New("Last-Event-ID is no event id of an answer: send the id of the last event received, unchanged")

const (
	positionSeparator = "~"
	positionParts     = 5
)

// Position identifies one token of an answer, and the engine's stream from which
// the answer can be resumed after it. Its text form is the event id that callers
// see.
type Position struct {
	Engine string
	Stream string
	// Request is the request identifier that the engine repeats in each token.
	Request string
	// Base is the number of tokens of the answer before this stream's first.
	Base uint32
	// Index is the token's position in the whole answer, from zero.
	Index uint32
}

// String returns the text form, which ParsePosition reads.
func (p Position) String() string {
	return strings.Join([]string{
		p.Engine, p.Stream, p.Request,
		strconv.FormatUint(uint64(p.Base), 10),
		strconv.FormatUint(uint64(p.Index), 10),
	}, positionSeparator)
}

// ParsePosition reads the text form, or returns ErrBadPosition.
func ParsePosition(text string) (Position, error) {
	parts := strings.Split(text, positionSeparator)
	if len(parts) != positionParts || parts[0] == "" || parts[1] == "" {
		return Position{}, ErrBadPosition
	}
	base, err := strconv.ParseUint(parts[3], 10, 32)
	if err != nil {
		return Position{}, ErrBadPosition
	}
	index, err := strconv.ParseUint(parts[4], 10, 32)
	if err != nil || index < base {
		return Position{}, ErrBadPosition
	}
	return Position{
		Engine: parts[0], Stream: parts[1], Request: parts[2],
		Base: uint32(base), Index: uint32(index),
	}, nil
}
