package call

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to one connection only and must not be forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// StripHopByHopHeaders removes the hop-by-hop headers, including those listed in the
// Connection header.
func StripHopByHopHeaders(header http.Header) {
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
