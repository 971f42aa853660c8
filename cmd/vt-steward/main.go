// Command vt-steward orders engines to load the models that are declared for
// them while it holds the stewards' lease.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/daemon"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

func main() {
	command := daemon.Command(daemon.Program[daemon.StewardSettings]{
		Name:      "vt-steward",
		Short:     "Orders engines to load the models that are declared for them",
		Defaults:  daemon.DefaultStewardSettings,
		Telemetry: func(s *daemon.StewardSettings) telemetry.Settings { return s.Telemetry },
		New: func(s daemon.StewardSettings, logger *logrus.Logger) (daemon.Process, error) {
			return daemon.NewSteward(s, logger)
		},
	})
	if err := command.Execute(); err != nil {
		os.Exit(1)
	}
}
