package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/standin/engine"
	"github.com/verbenatrail/verbenatrail/internal/standin/service"
)

// engineTimes are the engine's timing parameters, in the units of the flags.
type engineTimes struct {
	tokenMS          float64
	prefillUSPerTok  float64
	transferUSPerTok float64
}

func (t engineTimes) apply(cfg *engine.Config) {
	cfg.TokenTime = time.Duration(t.tokenMS * float64(time.Millisecond))
	cfg.PrefillPerToken = time.Duration(t.prefillUSPerTok * float64(time.Microsecond))
	cfg.TransferPerToken = time.Duration(t.transferUSPerTok * float64(time.Microsecond))
}

func newEngineCommand() *cobra.Command {
	var listen, crashWord string
	var times engineTimes
	cfg := engine.DefaultConfig()
	cfg.Crash = crash
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Model engine with continuous batching and a prefix cache",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			times.apply(&cfg)
			server := engine.New(cfg)
			server.Faults.Update(func(f *engine.Faults) { f.CrashWord = crashWord })
			return serve("engine", listen, server)
		},
	}
	addListenFlag(cmd, &listen)
	cmd.Flags().StringVar(&crashWord, "crash-word", "", "word in a prompt that crashes the process; empty for none")
	addEngineTimeFlags(cmd, &cfg, &times)
	addEngineFlags(cmd, &cfg)
	return cmd
}

func addEngineTimeFlags(cmd *cobra.Command, cfg *engine.Config, times *engineTimes) {
	flags := cmd.Flags()
	flags.Float64Var(&times.tokenMS, "token-ms", inUnits(cfg.TokenTime, time.Millisecond),
		"duration of one decode step, which generates one token for each running stream")
	flags.Float64Var(&times.prefillUSPerTok, "prefill-us-per-token", inUnits(cfg.PrefillPerToken, time.Microsecond),
		"prefill time of one uncached prompt token")
	flags.Float64Var(&times.transferUSPerTok, "transfer-us-per-token", inUnits(cfg.TransferPerToken, time.Microsecond),
		"time to export or import one cached token")
	flags.DurationVar(&cfg.StreamKeep, "stream-keep", cfg.StreamKeep, "how long a finished stream remains readable")
	flags.DurationVar(&cfg.OrphanAfter, "orphan-after", cfg.OrphanAfter, "how long a stream without a reader keeps generating")
	flags.DurationVar(&cfg.LoadLag, "load-lag", cfg.LoadLag, "age of the load report")
	flags.DurationVar(&cfg.CacheEventDelay, "cache-event-delay", cfg.CacheEventDelay, "delay of cache events")
	flags.DurationVar(&cfg.LeaveGrace, "leave-grace", cfg.LeaveGrace, "how long a leaving engine accepts new work")
	flags.DurationVar(&cfg.LoadTime, "load-time", cfg.LoadTime, "time to load a model")
}

func addEngineFlags(cmd *cobra.Command, cfg *engine.Config) {
	flags := cmd.Flags()
	flags.StringSliceVar(&cfg.Models, "models", cfg.Models, "models loaded at startup; empty serves all")
	flags.StringVar(&cfg.Role, "role", cfg.Role, "initial role")
	flags.IntVar(&cfg.Slots, "slots", cfg.Slots, "maximum number of concurrent streams")
	flags.IntVar(&cfg.CacheTokens, "cache-tokens", cfg.CacheTokens, "size of the prefix cache in tokens")
	flags.Int64Var(&cfg.CacheEventGap, "cache-event-gap", cfg.CacheEventGap, "omit one in this many cache events; 0 omits none")
	flags.BoolVar(&cfg.Fencing, "fencing", cfg.Fencing, "refuse orders with an outdated fencing token")
	flags.StringVar(&cfg.WeightStore, "weight-store", cfg.WeightStore, "base URL of the weight store; empty for none")
}

func newServiceCommand() *cobra.Command {
	var listen, crashWord string
	cfg := service.DefaultConfig()
	cfg.Crash = crash
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Plain service that counts executions",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			server := service.New(cfg)
			server.Faults.Update(func(f *service.Faults) { f.CrashWord = crashWord })
			return serve("service", listen, server)
		},
	}
	addListenFlag(cmd, &listen)
	flags := cmd.Flags()
	flags.StringVar(&crashWord, "crash-word", "", "word in a body that crashes the process; empty for none")
	flags.StringVar(&cfg.Name, "name", cfg.Name, "name reported in each response")
	flags.DurationVar(&cfg.ExecutionTime, "execution-time", cfg.ExecutionTime, "duration of each execution")
	flags.DurationVar(&cfg.LoadLag, "load-lag", cfg.LoadLag, "age of the load report")
	flags.DurationVar(&cfg.LeaveGrace, "leave-grace", cfg.LeaveGrace, "how long a leaving service accepts new work")
	return cmd
}

// inUnits converts a duration to a number of units.
func inUnits(d, unit time.Duration) float64 {
	return float64(d) / float64(unit)
}
