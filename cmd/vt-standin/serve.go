package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

const (
	// readHeaderTimeout bounds the time to read a request's headers.
	readHeaderTimeout = 10 * time.Second
	// drainPollInterval is the interval at which a leaving stand-in checks whether
	// it is drained.
	drainPollInterval = 20 * time.Millisecond
	// drainTimeout bounds the graceful shutdown.
	drainTimeout = 2 * time.Minute
	// crashExitCode is the exit code of a stand-in that was crashed by a request.
	crashExitCode = 3
)

// drainer is a handler with a graceful shutdown.
type drainer interface {
	Leave()
	Drained() bool
}

// addListenFlag adds the --listen flag, which every stand-in has.
func addListenFlag(cmd *cobra.Command, listen *string) {
	cmd.Flags().StringVar(listen, "listen", "127.0.0.1:0", "IP address and port to listen on")
}

// serve serves HTTP until a signal arrives. On SIGTERM a drainer first finishes its
// work; SIGINT stops immediately.
func serve(kind, listen string, handler http.Handler) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen: choose a free --listen address")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	logrus.WithFields(logrus.Fields{"kind": kind, "address": listener.Addr().String()}).Info("ready")
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case received := <-signals:
		if d, ok := handler.(drainer); ok && received == syscall.SIGTERM {
			waitDrained(d, signals)
		}
		return errors.Wrap(stop(server), "stop")
	}
}

// waitDrained starts a graceful shutdown and returns when it completes, after
// drainTimeout or at the next signal.
func waitDrained(d drainer, signals <-chan os.Signal) {
	logrus.Info("leaving")
	d.Leave()
	deadline := time.After(drainTimeout)
	for !d.Drained() {
		select {
		case <-time.After(drainPollInterval):
		case <-signals:
			return
		case <-deadline:
			return
		}
	}
}

// stop closes idle connections, and all others after a short grace period.
func stop(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainPollInterval)
	defer cancel()
	if server.Shutdown(ctx) == nil {
		return nil
	}
	return server.Close()
}

// crash exits as if a request had crashed the process.
func crash() {
	os.Exit(crashExitCode)
}
