package serviceclient

import (
	"net/http"
	"slices"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// framingHeaders are not passed on, since each hop sets its own.
var framingHeaders = []string{"Content-Length", "Host"}

// EndToEndHeaders returns the headers that are passed on, sorted by name. It
// leaves out hop-by-hop and framing headers.
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
