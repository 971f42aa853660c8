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

const (
	// maxSharedParts bounds the parts of one call's prompt that have keys. It is more than
	// a header of 16 KiB can list with hexadecimal IDs that differ.
	maxSharedParts = 3072
	// maxScopedParts bounds the parts that have keys within scopes, too.
	maxScopedParts = 128
)

// SharedKeys returns hashes of what a call has in common with others: each of the given
// parts of its prompt, alone and within each scope, such as the workspace. Of a prompt
// with more than maxScopedParts parts only the parts themselves count, and of one with
// more than maxSharedParts the first and the last ones. Each part must have a key: what
// crashes an upstream may be any of them.
func SharedKeys(parts, scopes []string) []uint64 {
	if len(parts) > maxScopedParts {
		scopes = nil
	}
	if len(parts) > maxSharedParts {
		parts = append(parts[:maxSharedParts/2:maxSharedParts/2], parts[len(parts)-maxSharedParts/2:]...)
	}
	keys := make([]uint64, 0, len(parts)*(1+len(scopes)))
	for _, part := range parts {
		keys = append(keys, Fingerprint(nil, part))
		for i, scope := range scopes {
			keys = append(keys, Fingerprint(nil, part, strconv.Itoa(i), scope))
		}
	}
	return keys
}

// SharedKeys returns hashes of the shared parts of the prompt, alone, within the
// workspace, and within the service and model.
func (c *Call) SharedKeys(workspace, service string) []uint64 {
	return SharedKeys(c.Prompt.SharedIDs(), []string{workspace, service + "\x00" + c.Prompt.Model})
}
