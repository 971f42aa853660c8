package call

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns a hash of the content of a call, which is the same for every
// resend. The fields are the parts of the request besides the body.
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

// writeLength writes a length prefix, so that the boundaries between fields affect
// the hash.
func writeLength(digest *xxhash.Digest, n int) {
	_, _ = digest.WriteString(strconv.Itoa(n))
	_, _ = digest.WriteString(":")
}

// Fingerprint returns a hash of the content of the call, which is the same for
// resends under new IDs.
func (c *Call) Fingerprint(workspace string) uint64 {
	return Fingerprint(c.Body, workspace, c.Method, c.Target)
}
