package upstream

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
)

// writeHead writes the request line and headers. The target is written as the
// caller sent it, since parsing it could change its percent-encoding.
func writeHead(w *bufio.Writer, r *Request) error {
	for _, part := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		_, _ = w.WriteString(part)
	}
	if err := r.Header.WriteSubset(headWriter{w}, framingHeaders); err != nil {
		return err
	}
	if len(r.Body) > 0 || expectsBody(r.Method) {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, err := w.WriteString("\r\n")
	return err
}

// framingHeaders are the headers that are not copied from the caller, since each
// hop sets its own.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

func expectsBody(method string) bool {
	return method != http.MethodGet && method != http.MethodHead
}

// headWriter implements io.StringWriter, so that Header.WriteSubset does not
// allocate a string writer of its own.
type headWriter struct{ w *bufio.Writer }

// Write implements io.Writer.
func (h headWriter) Write(p []byte) (int, error) { return h.w.Write(p) }

// WriteString implements io.StringWriter.
func (h headWriter) WriteString(s string) (int, error) { return h.w.WriteString(s) }

var _ io.StringWriter = headWriter{}
