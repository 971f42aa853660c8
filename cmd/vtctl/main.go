// Command vtctl is the operators' tool: it checks, compares and applies
// declarations, drains upstreams and shows the state of the fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/verbenatrail/verbenatrail/internal/vtctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(vtctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
