package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/capacity"
)

const (
	idleDuration   = 10 * time.Second
	listDuration   = time.Minute
	outageDuration = 6 * time.Second
)

// measurement holds the flags of vt-capacity measure.
type measurement struct {
	dir, out, against string
	phases            []string
}

func newMeasureCommand() *cobra.Command {
	var m measurement
	cmd := &cobra.Command{
		Use:   "measure",
		Short: "Measure a running fleet",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return m.run(cmd.Context()) },
	}
	addDirFlag(cmd, &m.dir)
	addOutFlag(cmd, &m.out)
	cmd.Flags().StringVar(&m.against, "against", capacity.AgainstRouters, "size parameter that varies between runs")
	cmd.Flags().StringSliceVar(&m.phases, "phases", []string{"start", "idle"},
		"phases to run, in order: start, idle, list, list-tagged, changes, outage, chats, actions, takeover, lookups, lookup-cost, steward, open, failure")
	return cmd
}

func addOutFlag(cmd *cobra.Command, out *string) {
	cmd.Flags().StringVar(out, "out", "", "file to append observations to (required)")
	_ = cmd.MarkFlagRequired("out")
}

func (m *measurement) run(ctx context.Context) error {
	layout, err := capacity.ReadLayout(m.dir)
	if err != nil {
		return err
	}
	e, err := capacity.NewExperiment(layout, m.against)
	if err != nil {
		return err
	}
	for _, phase := range m.phases {
		logrus.WithField("phase", phase).Info("measuring")
		if err := m.phase(ctx, e, phase); err != nil {
			logrus.WithError(err).WithField("phase", phase).Error("phase failed; its observations are missing")
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return appendObservations(m.out, e.Observations())
}

func (m *measurement) phase(ctx context.Context, e *capacity.Experiment, phase string) error {
	switch phase {
	case "start":
		state, err := readStartState(m.dir)
		if err != nil {
			return err
		}
		return e.ColdStart(ctx, state.At, state.KV)
	case "idle":
		return e.Idle(ctx, idleDuration)
	case "changes":
		return e.Changes(ctx)
	case "outage":
		return e.Outage(ctx, outageDuration)
	case "chats":
		return e.Chats(ctx)
	case "actions":
		return e.Actions(ctx)
	case "lookups":
		return e.Lookups(ctx)
	case "lookup-cost":
		return e.LookupCost(ctx)
	case "list":
		return e.ListPolls(ctx, "whole lists", listDuration)
	case "list-tagged":
		return e.ListPolls(ctx, "with entity tags", listDuration)
	case "takeover":
		return e.TakeOver(ctx)
	case "failure":
		return e.RouterFailure(ctx, m.dir)
	case "steward":
		return e.Steward(ctx, idleDuration)
	case "open":
		return e.OpenRequests(ctx)
	default:
		return errors.Errorf("unknown phase %q: see vt-capacity measure --help", phase)
	}
}

func appendObservations(path string, observations []capacity.Observation) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePermission)
	if err != nil {
		return errors.Wrap(err, "cannot write observations: check --out")
	}
	if err := capacity.WriteObservations(file, observations); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "cannot write observations")
}

func newFunctionsCommand() *cobra.Command {
	var out string
	var seed uint64
	cmd := &cobra.Command{
		Use:   "functions",
		Short: "Measure individual functions and sessions, without a fleet",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			observations, err := capacity.MicroBenchmarks(seed)
			if err != nil {
				return err
			}
			return appendObservations(out, observations)
		},
	}
	addOutFlag(cmd, &out)
	cmd.Flags().Uint64Var(&seed, "seed", defaultSeed, "random seed of the keys")
	return cmd
}
