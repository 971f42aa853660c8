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

// begun is the state before the daemons are started.
type begun struct {
	At time.Time      `json:"at"`
	KV kvserver.State `json:"kv"`
}

func begunFile(dir string) string { return filepath.Join(dir, "begun.json") }

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
		Short: "Write the settings of a fleet of one size",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return capacity.NewLayout(size, seed, firstPort).Write(dir)
		},
	}
	addDirFlag(cmd, &dir)
	flags := cmd.Flags()
	flags.IntVar(&size.Routers, "routers", 8, "routers")
	flags.IntVar(&size.Engines, "engines", 60, "listed engines")
	flags.IntVar(&size.Workspaces, "workspaces", 100, "declared workspaces")
	flags.IntVar(&size.EngineServers, "engine-servers", 4, "stand-ins that serve the listed engines")
	flags.IntVar(&size.Models, "models", 12, "models")
	flags.Uint64Var(&seed, "seed", defaultSeed, "seed of the load")
	flags.IntVar(&firstPort, "first-port", defaultFirstPort, "first of the ports on 127.0.0.1")
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
			return writeBegun(dir, begun{At: time.Now(), KV: state})
		},
	}
	addDirFlag(cmd, &dir)
	return cmd
}

func writeBegun(dir string, b begun) error {
	data, err := json.Marshal(b)
	if err != nil {
		return errors.Wrap(err, "encode the state at the start")
	}
	return errors.Wrap(os.WriteFile(begunFile(dir), data, filePermission), "state at the start can't be written")
}

func readBegun(dir string) (begun, error) {
	var b begun
	data, err := os.ReadFile(begunFile(dir))
	if err != nil {
		return b, errors.Wrap(err, "no state at the start: run vt-capacity commit first")
	}
	return b, errors.Wrap(json.Unmarshal(data, &b), "state at the start is damaged: run vt-capacity commit again")
}
