// Command vt-standin runs one stand-in for a platform service or an upstream.
package main

import (
	"os"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		logrus.WithError(err).Error("stand-in stopped")
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "vt-standin",
		Short:         "Stand-ins for the platform's services, engines and plain services",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newKVCommand(),
		newHostListCommand(),
		newEngineCommand(),
		newServiceCommand(),
		newWeightsCommand(),
		newLinkCommand(),
	)
	return root
}
