package settings

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

func TestWatchFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write := func(content string) {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("first")
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal)
	seen := make(chan string)
	done := make(chan struct{})
	go func() {
		defer close(done)
		WatchFile(ctx, path, time.Millisecond, signals, func(data []byte) { seen <- string(data) })
	}()
	signals <- syscall.SIGHUP
	if got := <-seen; got != "first" {
		t.Errorf("content after a signal: %q", got)
	}
	write("second")
	for got := <-seen; got != "second"; got = <-seen {
		// A read may see a partial write.
		t.Logf("ignoring a partial write: %q", got)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	cancel()
	<-done
}
