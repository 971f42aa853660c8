package call

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the content of a call across resends: fields that tell
// what is asked, and the body.
func Fingerprint(body []byte, fields ...string) uint64 {
	digest := xxhash.New()
	for _, field := range fields {
		writeLength(digest, len(field))
		_, _ = digest.WriteString(field)
	}
	writeLength(digest, len(body))
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// writeLength keeps the fields apart.
func writeLength(digest *xxhash.Digest, n int) {
	_, _ = digest.WriteString(strconv.Itoa(n))
	_, _ = digest.WriteString(":")
}

// Fingerprint identifies the content of a call across resends under new IDs.
func (c *Call) Fingerprint(workspace string) uint64 {
	return Fingerprint(c.Body, workspace, c.Method, c.Target)
}
