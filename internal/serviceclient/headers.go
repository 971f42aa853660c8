package serviceclient

import (
	"net/http"
	"slices"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// framingHeaders are set anew by each hop.
var framingHeaders = []string{"Content-Length", "Host"}

// EndToEndHeaders returns the end-to-end headers, in name order.
func EndToEndHeaders(header http.Header) []*peerpb.Header {
	header = header.Clone()
	call.StripHopByHopHeaders(header)
	names := make([]string, 0, len(header))
	for name := range header {
		if !slices.Contains(framingHeaders, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var passed []*peerpb.Header
	for _, name := range names {
		for _, value := range header[name] {
			passed = append(passed, &peerpb.Header{Name: name, Value: value})
		}
	}
	return passed
}
