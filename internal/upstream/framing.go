package upstream

import "net/http"

// Framing is how the end of a response's body is told.
type Framing int

// Framings of a response.
const (
	// NoFraming: there is no response.
	NoFraming Framing = iota
	// Length: the head names the length of the body, or allows no body.
	Length
	// Chunks: the body ends with an empty chunk.
	Chunks
	// UntilClose: the body ends with the connection, so that its end can't be told from the
	// end of the peer.
	UntilClose
)

// String returns the framing as it appears in logs and metrics.
func (f Framing) String() string { return [...]string{"none", "length", "chunks", "until_close"}[f] }

// FramingOf returns the framing of a response that was read from a connection.
func FramingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return Chunks
	case response.ContentLength >= 0 || response.Body == http.NoBody:
		return Length
	default:
		return UntilClose
	}
}
