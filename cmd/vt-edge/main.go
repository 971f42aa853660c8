// Command vt-edge is a router for a platform that stores the configuration: it
// serves callers and tells them which router to use.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/edge"
	"github.com/verbenatrail/verbenatrail/internal/settings"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
	"github.com/verbenatrail/verbenatrail/platform"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes, because it may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// flags are the command-line flags.
type flags struct {
	check    bool
	logLevel string
}

func main() {
	// Registered first, because SIGHUP terminates a process that doesn't handle it.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	var f flags
	command := &cobra.Command{
		Use:   "vt-edge",
		Short: "Routes calls on a platform that stores the configuration",
		Long: "Routes calls on a platform that stores the configuration.\n" +
			"The environment variable " + platform.BootVariable + " names the settings file.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(f, reloads) },
	}
	command.Flags().BoolVar(&f.check, "check", false, "validate the settings file, report all errors and exit")
	command.Flags().StringVar(&f.logLevel, "log-level", "info", "debug, info, warning or error")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "vt-edge:", err)
		os.Exit(1)
	}
}

func run(f flags, reloads <-chan os.Signal) error {
	level, err := logrus.ParseLevel(f.logLevel)
	if err != nil {
		return err
	}
	boot, err := platform.ReadBoot()
	if err != nil || f.check {
		return err
	}
	debug.SetMemoryLimit(boot.Edge.MemoryTarget())
	registry := telemetry.NewRegistry()
	log := decisionlog.New(os.Stdout, level, registry)
	store := platform.NewStore(boot.StoreAddress, log, registry)
	router, err := edge.New(edge.Options{
		Settings: boot.Edge, Store: store, StoreEra: store.Era, Provider: platform.NewRecordTranslator(boot.Edge.Name, boot.Regions),
		Codec: platform.Codec{}, Inventory: platform.NewInventory(), Handlers: platform.Handlers,
		Log: log, Registry: registry,
	})
	if err != nil {
		return err
	}
	return serve(router, reloads, log)
}

// serve runs the router until SIGTERM or SIGINT. The log writer stops last, so that
// entries logged during the shutdown are written.
func serve(router *edge.Edge, reloads <-chan os.Signal, log *decisionlog.Log) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logCtx, stopLogging := context.WithCancel(context.Background())
	defer stopLogging()
	var group errgroup.Group
	group.Go(func() error { return log.Run(logCtx) })
	if err := watchSettings(ctx, router, reloads, log); err != nil {
		return err
	}
	err := router.Run(ctx)
	stopLogging()
	if logErr := group.Wait(); err == nil {
		err = logErr
	}
	return err
}

// watchSettings reloads changed settings until the context ends. Invalid settings
// are logged and the previous ones stay in force.
func watchSettings(ctx context.Context, router *edge.Edge, reloads <-chan os.Signal, log *decisionlog.Log) error {
	path, err := platform.BootPath()
	if err != nil {
		return err
	}
	go settings.WatchFile(ctx, path, settingsPollInterval, reloads, func(data []byte) {
		boot, err := platform.ParseBoot(data)
		if err != nil {
			log.Failure("invalid settings; keeping the previous ones", err, nil)
			return
		}
		router.Reload(boot.Edge)
	})
	return nil
}
