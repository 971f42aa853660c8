package main

import (
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/benchreport"
)

func newBenchReportCommand() *cobra.Command {
	var journal, out string
	command := &cobra.Command{
		Use:   "bench-report",
		Short: "Write a report with figures and plots from the journal of benchmark runs",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			entries, err := benchreport.Read(journal)
			if err != nil {
				return err
			}
			if err := benchreport.Write(out, entries); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), filepath.Join(out, "report.md"))
			return nil
		},
	}
	command.Flags().StringVar(&journal, "journal", "journal", "directory of the journal")
	command.Flags().StringVar(&out, "out", "out/bench-report", "directory to write the report to")
	return command
}
