// Command vt-edge is a router for a platform that keeps the configuration: it
// serves callers and tells them which router to use.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/edge"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
	"github.com/verbenatrail/verbenatrail/platform"
)

func main() {
	command := &cobra.Command{
		Use:           "vt-edge",
		Short:         "Routes calls on the users' platform; settings come from the file named by " + platform.BootVariable,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run() },
	}
	if err := command.Execute(); err != nil {
		logrus.WithError(err).Error("vt-edge stopped")
		os.Exit(1)
	}
}

func run() error {
	boot, err := platform.ReadBoot()
	if err != nil {
		return err
	}
	registry := telemetry.NewRegistry()
	log := decisionlog.New(os.Stdout, logrus.InfoLevel, registry)
	router, err := edge.New(edge.Options{
		Settings: boot.Edge, Store: platform.NewStore(boot.StoreAddress), Provider: platform.NewRecords(boot.Edge.Name),
		Codec: platform.Codec{}, Inventory: platform.NewInventory(), Handlers: platform.Handlers(boot.Edge.AddressLifetime), Log: log, Registry: registry,
	})
	if err != nil {
		return err
	}
	return serve(router, log)
}

// serve runs the router until it is asked to stop; its log ends last.
func serve(router *edge.Edge, log *decisionlog.Log) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logging, stopLogging := context.WithCancel(context.Background())
	defer stopLogging()
	var group errgroup.Group
	group.Go(func() error { return log.Run(logging) })
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go reload(reloads, router, log)
	err := router.Run(ctx)
	stopLogging()
	if logErr := group.Wait(); err == nil {
		err = logErr
	}
	return err
}

// reload reads the settings again at each signal.
func reload(signals <-chan os.Signal, router *edge.Edge, log *decisionlog.Log) {
	for range signals {
		boot, err := platform.ReadBoot()
		if err != nil {
			log.Failure("settings kept", err, nil)
			continue
		}
		router.Reload(boot.Edge)
	}
}
