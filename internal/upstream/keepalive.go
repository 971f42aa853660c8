package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// closes is the KeepAlive of an answer after which the connection ends.
const closes = -1

// KeepAliveTimeout returns how long the peer keeps the connection after an answer, as
// it says: zero when it doesn't, negative when it closes the connection.
func KeepAliveTimeout(response *http.Response) time.Duration {
	if response.Close {
		return closes
	}
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
