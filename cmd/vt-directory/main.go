// Command vt-directory tells callers which router to connect to.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/daemon"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

func main() {
	command := daemon.Command(daemon.Program[daemon.DirectorySettings]{
		Name:      "vt-directory",
		Short:     "Tells callers which router to connect to",
		Defaults:  daemon.DefaultDirectorySettings,
		Telemetry: func(s *daemon.DirectorySettings) telemetry.Settings { return s.Telemetry },
		New: func(s daemon.DirectorySettings, logger *logrus.Logger) (daemon.Process, error) {
			return daemon.NewDirectory(s, logger)
		},
	})
	if err := command.Execute(); err != nil {
		os.Exit(1)
	}
}
