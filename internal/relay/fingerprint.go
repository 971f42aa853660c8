package relay

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the content of a request across resends.
func Fingerprint(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(":")
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}

// ChatAffinity returns the key that placement hashes for a chat of a workspace.
func ChatAffinity(workspace, chat string) string { return workspace + "/" + chat }
