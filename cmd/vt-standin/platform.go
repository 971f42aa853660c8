package main

import (
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/standin/hostserver"
	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
	"github.com/verbenatrail/verbenatrail/internal/standin/weights"
)

func newKVCommand() *cobra.Command {
	var listen string
	cfg := kvserver.DefaultConfig()
	cmd := &cobra.Command{
		Use:   "kv",
		Short: "Key-value service: an in-memory etcd v3 JSON gateway",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serve("kv", listen, kvserver.New(cfg))
		},
	}
	addListenFlag(cmd, &listen)
	flags := cmd.Flags()
	flags.IntVar(&cfg.WritesPerSecond, "writes-per-second", cfg.WritesPerSecond, "rate limit and burst of writes")
	flags.IntVar(&cfg.ReadsPerSecond, "reads-per-second", cfg.ReadsPerSecond, "rate limit and burst of reads")
	flags.IntVar(&cfg.HistoryLimit, "history", cfg.HistoryLimit, "number of changes kept for watches")
	return cmd
}

func newHostListCommand() *cobra.Command {
	var listen, hostsFile string
	cfg := hostserver.Config{Lag: hostserver.DefaultLag}
	cmd := &cobra.Command{
		Use:   "hostlist",
		Short: "Host list of live and leaving hosts, updated with a delay",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			hosts, err := readHosts(hostsFile)
			if err != nil {
				return err
			}
			cfg.Hosts = hosts
			return serve("hostlist", listen, hostserver.New(cfg))
		},
	}
	addListenFlag(cmd, &listen)
	flags := cmd.Flags()
	flags.StringVar(&hostsFile, "hosts", "", "YAML or JSON file with the initial list")
	flags.DurationVar(&cfg.Lag, "lag", cfg.Lag, "delay until a change becomes visible")
	flags.BoolVar(&cfg.EntityTags, "entity-tags", cfg.EntityTags, "answer polls of an unchanged list without a body")
	return cmd
}

// readHosts reads the initial list; an empty path gives an empty list.
func readHosts(path string) ([]hostlist.Host, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read hosts file: check --hosts")
	}
	return hostserver.ParseHosts(data)
}

func newWeightsCommand() *cobra.Command {
	var listen string
	cfg := weights.DefaultConfig()
	cmd := &cobra.Command{
		Use:   "weights",
		Short: "Weight store with a rate limit",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serve("weights", listen, weights.New(cfg))
		},
	}
	addListenFlag(cmd, &listen)
	flags := cmd.Flags()
	flags.Float64Var(&cfg.LoadsPerMinute, "loads-per-minute", cfg.LoadsPerMinute, "rate limit of loads")
	flags.IntVar(&cfg.Burst, "burst", cfg.Burst, "burst of loads")
	flags.Int64Var(&cfg.SizeBytes, "size-bytes", cfg.SizeBytes, "size of each model's weights")
	return cmd
}
