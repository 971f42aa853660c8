package daemon

import (
	"context"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/settings"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

// Process is a program that runs until its context is done.
type Process interface {
	Run(ctx context.Context) error
}

// Program describes a binary that reads its settings from one file.
type Program[S any] struct {
	Name  string
	Short string
	// Defaults returns the default settings, which the file overrides.
	Defaults func() S
	// Telemetry returns the log and trace settings.
	Telemetry func(*S) telemetry.Settings
	// New creates the process; its Run starts it.
	New func(S, *logrus.Logger) (Process, error)
}

// Command returns the command of a program, with the flags --config,
// --check-config and --version.
func Command[S any](p Program[S]) *cobra.Command {
	var path string
	var checkOnly bool
	command := &cobra.Command{
		Use: p.Name, Short: p.Short, Version: version(), SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded := p.Defaults()
			if err := settings.Load(path, &loaded); err != nil {
				return err
			}
			if checkOnly {
				cmd.Println("settings are valid")
				return nil
			}
			return run(p, loaded)
		},
	}
	command.Flags().StringVar(&path, "config", "", "YAML file with the settings (required)")
	command.Flags().BoolVar(&checkOnly, "check-config", false, "check the settings and exit")
	_ = command.MarkFlagRequired("config")
	return command
}

func run[S any](p Program[S], loaded S) error {
	output := p.Telemetry(&loaded)
	logger, err := telemetry.NewLogger(output)
	if err != nil {
		return err
	}
	closeTracing, err := telemetry.StartTracing(output, p.Name)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = closeTracing(ctx)
	}()
	process, err := p.New(loaded, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return process.Run(ctx)
}

// version returns the VCS revision of the build, or the module's version when the
// build has none.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}
