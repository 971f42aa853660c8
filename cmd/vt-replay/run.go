package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/layout"
	"github.com/verbenatrail/verbenatrail/internal/replay"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// errOutcomesMissed is returned when a required outcome was not reached.
var errOutcomesMissed = errors.New("not all required outcomes were reached: see the report")

func newRunCommand() *cobra.Command {
	var dir, traceFile, out string
	command := &cobra.Command{
		Use:   "run",
		Short: "Replay a trace against the running processes of a layout and check its outcomes",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runTrace(ctx, command.OutOrStdout(), dir, traceFile, out)
		},
	}
	addLayoutFlag(command, &dir)
	command.Flags().StringVar(&traceFile, "trace", "", "trace file")
	command.Flags().StringVar(&out, "out", "", "directory to write the report to")
	_ = command.MarkFlagRequired("trace")
	_ = command.MarkFlagRequired("out")
	return command
}

func runTrace(ctx context.Context, stdout io.Writer, dir, traceFile, out string) error {
	t, err := trace.ReadFile(traceFile)
	if err != nil {
		return err
	}
	l, err := layout.Load(dir)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return errors.Wrap(err, "cannot create report directory: choose another --out")
	}
	record, err := replay.Run(ctx, replay.Options{Trace: t, Layout: l, Progress: os.Stderr})
	if err != nil {
		return err
	}
	verdicts := replay.Judge(record)
	for _, v := range verdicts {
		fmt.Fprintln(stdout, v)
	}
	if err := replay.Write(out, record, replay.NewReport(record, verdicts)); err != nil {
		return err
	}
	if !replay.Passed(verdicts) {
		return errOutcomesMissed
	}
	return nil
}
