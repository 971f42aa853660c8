package serviceclient

import (
	"net/http"
	"sort"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Host":                true,
}

// PassedHeaders returns the end-to-end headers, in name order.
func PassedHeaders(header http.Header) []*peerpb.Header {
	names := make([]string, 0, len(header))
	for name := range header {
		if !hopHeaders[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var passed []*peerpb.Header
	for _, name := range names {
		for _, value := range header[name] {
			passed = append(passed, &peerpb.Header{Name: name, Value: value})
		}
	}
	return passed
}
