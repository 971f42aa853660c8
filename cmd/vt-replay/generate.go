package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/trace"
)

const defaultTraceDuration = 30 * time.Second

func newGenerateCommand() *cobra.Command {
	var (
		profile  string
		seed     uint64
		duration time.Duration
		out      string
	)
	command := &cobra.Command{
		Use:   "generate",
		Short: "Generate a trace modelled on a deployment",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return generate(profile, seed, duration, out)
		},
	}
	command.Flags().StringVar(&profile, "profile", "shrestha", "deployment profile: shrestha or litoral")
	command.Flags().Uint64Var(&seed, "seed", 1, "random seed; the same seed gives the same trace")
	command.Flags().DurationVar(&duration, "duration", defaultTraceDuration, "latest arrival time in the trace")
	command.Flags().StringVar(&out, "out", "", "file to write")
	_ = command.MarkFlagRequired("out")
	return command
}

func generate(name string, seed uint64, duration time.Duration, out string) error {
	profile, err := trace.ProfileByName(name)
	if err != nil {
		return err
	}
	file, err := os.Create(out)
	if err != nil {
		return err
	}
	if err := trace.Write(file, trace.Generate(profile, seed, duration)); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
