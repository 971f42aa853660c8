package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/layout"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

const (
	defaultReadyTimeout = 30 * time.Second
	readyPollInterval   = 100 * time.Millisecond
)

func newLayoutCommand() *cobra.Command {
	var (
		traceFile string
		options   layout.Options
	)
	command := &cobra.Command{
		Use:   "layout",
		Short: "Write settings, hosts, declarations and the list of processes for a trace",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			t, err := trace.ReadFile(traceFile)
			if err != nil {
				return err
			}
			_, err = layout.Write(t, options)
			return err
		},
	}
	command.Flags().StringVar(&traceFile, "trace", "", "trace file")
	command.Flags().StringVar(&options.Dir, "out", "", "directory to write")
	command.Flags().StringVar(&options.Binaries, "binaries", "bin", "directory of the binaries")
	command.Flags().IntVar(&options.Stewards, "stewards", 1, "number of stewards")
	_ = command.MarkFlagRequired("trace")
	_ = command.MarkFlagRequired("out")
	return command
}

func newProcessesCommand() *cobra.Command {
	var dir string
	command := &cobra.Command{
		Use:   "processes",
		Short: "List the processes of a layout, one per line, as tab-separated fields",
		Long: `processes prints for each process, in start order:
name, kind, address, pid file, log file, binary and arguments.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			l, err := layout.Load(dir)
			if err != nil {
				return err
			}
			printProcesses(command.OutOrStdout(), l)
			return nil
		},
	}
	addLayoutFlag(command, &dir)
	return command
}

func printProcesses(out io.Writer, l *layout.Layout) {
	for _, p := range l.Processes {
		fields := []string{p.Name, string(p.Kind), orDash(p.Address), p.PIDFile, p.LogFile, p.Binary}
		fmt.Fprintln(out, strings.Join(append(fields, p.Args...), "\t"))
	}
}

// orDash replaces an empty field, which shell field splitting would drop.
func orDash(field string) string {
	if field == "" {
		return "-"
	}
	return field
}

func newReadyCommand() *cobra.Command {
	var (
		dir     string
		timeout time.Duration
	)
	command := &cobra.Command{
		Use:   "ready",
		Short: "Wait until every daemon of a layout is ready",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			l, err := layout.Load(dir)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return waitReady(ctx, l)
		},
	}
	addLayoutFlag(command, &dir)
	command.Flags().DurationVar(&timeout, "timeout", defaultReadyTimeout, "maximum time to wait")
	return command
}

func addLayoutFlag(command *cobra.Command, dir *string) {
	command.Flags().StringVar(dir, "layout", "", "directory of the layout")
	_ = command.MarkFlagRequired("layout")
}

func waitReady(ctx context.Context, l *layout.Layout) error {
	for _, p := range l.Processes {
		if !p.IsDaemon() {
			continue
		}
		for !isReady(ctx, p.Admin) {
			select {
			case <-ctx.Done():
				return errors.Errorf("%s did not become ready: see %s", p.Name, p.LogFile)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, admin string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
