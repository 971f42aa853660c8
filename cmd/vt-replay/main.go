// Command vt-replay replays recorded traces against a running fleet and checks
// the results against the outcomes that the trace requires.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
)

func main() {
	os.Exit(run())
}

func run() int {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "vt-replay:", err)
		return exitFailed
	}
	return exitOK
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "vt-replay",
		Short:         "Replay traces against a fleet and check their required outcomes",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newGenerateCommand(), newLayoutCommand(), newProcessesCommand(), newReadyCommand(), newRunCommand(),
		newBenchReportCommand())
	return root
}
