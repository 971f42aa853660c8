// Command vt-router routes callers' requests and admits the requests to the
// upstreams that it owns.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/daemon"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

func main() {
	command := daemon.Command(daemon.Program[daemon.RouterSettings]{
		Name:      "vt-router",
		Short:     "Routes chats and service calls to labelled engines and services",
		Defaults:  daemon.DefaultRouterSettings,
		Telemetry: func(s *daemon.RouterSettings) telemetry.Settings { return s.Telemetry },
		New: func(s daemon.RouterSettings, logger *logrus.Logger) (daemon.Process, error) {
			return daemon.NewRouter(s, logger)
		},
	})
	if err := command.Execute(); err != nil {
		os.Exit(1)
	}
}
