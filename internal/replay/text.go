package replay

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabularySize is the number of distinct words in messages.
const vocabularySize = 50000

// messageText returns the message of a turn: words derived from the ID of the turn,
// so that each replay of a trace sends the same text.
func messageText(id string, words int) string {
	var text strings.Builder
	for i := range words {
		if i > 0 {
			text.WriteByte(' ')
		}
		hash := xxhash.Sum64String(id + "/" + strconv.Itoa(i))
		text.WriteString("w" + strconv.FormatUint(hash%vocabularySize, 36))
	}
	return text.String()
}

func countWords(text string) int { return len(strings.Fields(text)) }
