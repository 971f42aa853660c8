package engineapi

import (
	"github.com/cespare/xxhash/v2"
)

// PrefixHash returns a hash that identifies an ordered list of messages.
func PrefixHash(messages []Message) uint64 {
	digest := xxhash.New()
	separator := []byte{0}
	for _, m := range messages {
		_, _ = digest.WriteString(m.Role)
		_, _ = digest.Write(separator)
		_, _ = digest.WriteString(m.Content)
		_, _ = digest.Write(separator)
	}
	return digest.Sum64()
}
