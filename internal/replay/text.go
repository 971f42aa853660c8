package replay

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary is the number of different words in messages.
const vocabulary = 50000

// messageText returns the message of a turn: words that depend on its
// identifier only.
func messageText(id string, words int) string {
	var text strings.Builder
	for i := range words {
		if i > 0 {
			text.WriteByte(' ')
		}
		hash := xxhash.Sum64String(id + "/" + strconv.Itoa(i))
		text.WriteString("w" + strconv.FormatUint(hash%vocabulary, 36))
	}
	return text.String()
}

func countWords(text string) int { return len(strings.Fields(text)) }
