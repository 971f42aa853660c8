package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/capacity"
	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
)

const (
	defaultFirstPort = 26000
	defaultSeed      = 1
	filePermission   = 0o644
)

// startState is the state of the key-value service before the daemons are started,
// with the time at which it was recorded.
type startState struct {
	At time.Time      `json:"at"`
	KV kvserver.State `json:"kv"`
}

func startStateFile(dir string) string { return filepath.Join(dir, "begun.json") }

func addDirFlag(cmd *cobra.Command, dir *string) {
	cmd.Flags().StringVar(dir, "dir", "", "directory of the fleet's files (required)")
	_ = cmd.MarkFlagRequired("dir")
}

func newPrepareCommand() *cobra.Command {
	var dir string
	var size capacity.Size
	var seed uint64
	var firstPort int
	cmd := &cobra.Command{
		Use:   "prepare",
		Short: "Write the settings of a fleet of the given size",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return capacity.NewLayout(size, seed, firstPort).Write(dir)
		},
	}
	addDirFlag(cmd, &dir)
	flags := cmd.Flags()
	flags.IntVar(&size.Routers, "routers", 8, "number of routers")
	flags.IntVar(&size.Engines, "engines", 60, "number of listed engines")
	flags.IntVar(&size.Workspaces, "workspaces", 100, "number of declared workspaces")
	flags.IntVar(&size.EngineServers, "engine-servers", 4, "number of stand-ins that serve the listed engines")
	flags.IntVar(&size.Models, "models", 12, "number of models")
	flags.Uint64Var(&seed, "seed", defaultSeed, "random seed of the load")
	flags.IntVar(&firstPort, "first-port", defaultFirstPort, "first port on 127.0.0.1")
	return cmd
}

func newCommitCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:   "commit",
		Short: "Commit the fleet's declarations before the daemons are started",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			layout, err := capacity.ReadLayout(dir)
			if err != nil {
				return err
			}
			e, err := capacity.NewExperiment(layout, capacity.AgainstRouters)
			if err != nil {
				return err
			}
			if err := e.Commit(cmd.Context()); err != nil {
				return err
			}
			state, err := e.KVState(cmd.Context())
			if err != nil {
				return err
			}
			return writeStartState(dir, startState{At: time.Now(), KV: state})
		},
	}
	addDirFlag(cmd, &dir)
	return cmd
}

func writeStartState(dir string, state startState) error {
	data, err := json.Marshal(state)
	if err != nil {
		return errors.Wrap(err, "encode start state")
	}
	return errors.Wrap(os.WriteFile(startStateFile(dir), data, filePermission), "cannot write start state")
}

func readStartState(dir string) (startState, error) {
	var state startState
	data, err := os.ReadFile(startStateFile(dir))
	if err != nil {
		return state, errors.Wrap(err, "no start state: run vt-capacity commit first")
	}
	return state, errors.Wrap(json.Unmarshal(data, &state), "invalid start state: run vt-capacity commit again")
}
