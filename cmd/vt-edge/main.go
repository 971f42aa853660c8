// Command vt-edge is a router for a platform that keeps the configuration: it
// serves callers and tells them which router to use.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
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

// settingsInterval is the time between two looks at the settings file, which
// may change without a signal.
const settingsInterval = 2 * time.Second

// flags are the command line's.
type flags struct {
	check    bool
	logLevel string
}

func main() {
	// Until the signal is taken, it ends the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	var f flags
	command := &cobra.Command{
		Use:   "vt-edge",
		Short: "Routes calls on a platform that keeps the configuration",
		Long: "Routes calls on a platform that keeps the configuration.\n" +
			"The environment variable " + platform.BootVariable + " names the settings file.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(f, reloads) },
	}
	command.Flags().BoolVar(&f.check, "check", false, "check the settings file, tell every mistake and stop")
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
	registry := telemetry.NewRegistry()
	log := decisionlog.New(os.Stdout, level, registry)
	router, err := edge.New(edge.Options{
		Settings: boot.Edge, Store: platform.NewStore(boot.StoreAddress), Provider: platform.NewRecordTranslator(boot.Edge.Name, boot.Regions),
		Codec: platform.Codec{}, Inventory: platform.NewInventory(), Handlers: platform.Handlers,
		Log: log, Registry: registry,
	})
	if err != nil {
		return err
	}
	return serve(router, reloads, log)
}

// serve runs the router until it is asked to stop; its log ends last.
func serve(router *edge.Edge, reloads <-chan os.Signal, log *decisionlog.Log) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logging, stopLogging := context.WithCancel(context.Background())
	defer stopLogging()
	var group errgroup.Group
	group.Go(func() error { return log.Run(logging) })
	if err := followSettings(ctx, router, reloads, log); err != nil {
		return err
	}
	err := router.Run(ctx)
	stopLogging()
	if logErr := group.Wait(); err == nil {
		err = logErr
	}
	return err
}

// followSettings has changed settings taken until the context ends. Settings
// with mistakes leave the last ones in force.
func followSettings(ctx context.Context, router *edge.Edge, reloads <-chan os.Signal, log *decisionlog.Log) error {
	path, err := platform.BootPath()
	if err != nil {
		return err
	}
	go settings.WatchFile(ctx, path, settingsInterval, reloads, func(data []byte) {
		boot, err := platform.ParseBoot(data)
		if err != nil {
			log.Failure("settings kept", err, nil)
			return
		}
		router.Reload(boot.Edge)
	})
	return nil
}
