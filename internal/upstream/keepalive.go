package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveClose is the result of KeepAliveTimeout for a response after which
// the peer closes the connection.
const keepAliveClose = -1

// maxKeepAliveSeconds bounds the time that a peer names, so that it doesn't overflow.
const maxKeepAliveSeconds = 3600

// KeepAliveTimeout returns the time for which the peer keeps the idle connection
// open, as given in the response's Keep-Alive header. It is zero if the header
// gives none, and negative if the peer closes the connection after the response.
func KeepAliveTimeout(response *http.Response) time.Duration {
	if response.Close {
		return keepAliveClose
	}
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
			return time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second
		}
	}
	return 0
}
