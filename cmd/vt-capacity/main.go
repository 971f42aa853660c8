// Command vt-capacity measures how the resource costs of a fleet scale with its
// size. It sends load to a fleet that scripts/capacity.sh has started on loopback
// and writes tables of the fitted slopes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		logrus.WithError(err).Error("measurement stopped")
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "vt-capacity",
		Short:         "Measure how the resource costs of a fleet scale with its size",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newPrepareCommand(), newCommitCommand(), newMeasureCommand(),
		newFunctionsCommand(), newReportCommand(),
	)
	return root
}
