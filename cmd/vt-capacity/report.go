package main

import (
	"io"
	"os"
	"runtime"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/capacity"
)

// reportFiles are the paths of the input and the outputs of vt-capacity report.
type reportFiles struct{ observations, markdown, json string }

func newReportCommand() *cobra.Command {
	var files reportFiles
	var seed uint64
	var commit, command string
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Fit the observations and write the tables",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			report, err := files.read()
			if err != nil {
				return err
			}
			report.Seed, report.Commit, report.Command = seed, commit, command
			report.Cores = runtime.NumCPU()
			return files.write(report)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&files.observations, "observations", "", "observations file to read (required)")
	flags.StringVar(&files.markdown, "markdown", "", "Markdown file to write (required)")
	flags.StringVar(&files.json, "json", "", "JSON file to write (required)")
	flags.Uint64Var(&seed, "seed", defaultSeed, "random seed of the run")
	flags.StringVar(&commit, "commit", "unknown", "commit that was measured")
	flags.StringVar(&command, "command", "make capacity", "command that reproduces the run")
	for _, required := range []string{"observations", "markdown", "json"} {
		_ = cmd.MarkFlagRequired(required)
	}
	return cmd
}

func (f reportFiles) read() (*capacity.Report, error) {
	file, err := os.Open(f.observations)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read observations: run vt-capacity measure first")
	}
	defer func() { _ = file.Close() }()
	observations, err := capacity.ReadObservations(file)
	if err != nil {
		return nil, err
	}
	return capacity.NewReport(observations), nil
}

func (f reportFiles) write(report *capacity.Report) error {
	if err := writeTo(f.markdown, report.WriteMarkdown); err != nil {
		return err
	}
	return writeTo(f.json, report.WriteJSON)
}

func writeTo(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "cannot write report")
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "cannot write report")
}
