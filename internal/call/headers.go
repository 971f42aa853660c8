package call

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// StripHopByHopHeaders removes the headers that concern one connection only, those that
// Connection names included.
func StripHopByHopHeaders(header http.Header) {
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
