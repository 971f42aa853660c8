// Package vtctl implements the operators' command-line tool.
package vtctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/kv/etcdjson"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Exit codes.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitInvalidInput   = 2
	ExitConflict       = 3
	ExitOutcomeUnknown = 4
	ExitDifference     = 5
)

const defaultTimeout = 15 * time.Second

// Settings are the contents of the settings file; flags override them.
type Settings struct {
	// KeyValue are the base URLs of the key-value service.
	KeyValue []string `yaml:"key_value" validate:"dive,url"`
	// HostList is the base URL of the platform's host list.
	HostList string `yaml:"host_list" validate:"omitempty,url"`
	// AdminPort is the admin port of the daemons on listed hosts.
	AdminPort int `yaml:"admin_port" validate:"gte=0,lte=65535"`
	// Routers are admin addresses; when set, the host list is not used.
	Routers []string `yaml:"routers" validate:"dive,hostname_port"`
	// Author is recorded with each commit.
	Author string `yaml:"author" validate:"max=64"`
}

var (
	errUsage      = errors.New("invalid usage")
	errDifference = errors.New("differences found")
)

// cli is the state of one invocation.
type cli struct {
	settings   Settings
	configFile string
	output     string
	timeout    time.Duration
	out        io.Writer
	errOut     io.Writer
}

// Run runs the tool with the given arguments and returns its exit code.
func Run(ctx context.Context, arguments []string, out, errOut io.Writer) int {
	root := NewCommand(out, errOut)
	root.SetArgs(arguments)
	err := root.ExecuteContext(ctx)
	printError(errOut, err)
	return exitCode(err)
}

// printError prints validation errors without a prefix, so that editors can parse
// their file positions.
func printError(out io.Writer, err error) {
	var invalid declare.ValidationErrors
	switch {
	case err == nil, errors.Is(err, errDifference):
	case errors.As(err, &invalid):
		fmt.Fprintln(out, invalid.Error())
	default:
		fmt.Fprintln(out, "vtctl: "+err.Error())
	}
}

func exitCode(err error) int {
	var invalid declare.ValidationErrors
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &invalid), errors.Is(err, errUsage):
		return ExitInvalidInput
	case errors.Is(err, configstore.ErrConflict):
		return ExitConflict
	case errors.Is(err, configstore.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	case errors.Is(err, errDifference):
		return ExitDifference
	default:
		return ExitFailed
	}
}

const longHelp = `vtctl checks, compares and applies declarations of workspaces, engines,
services and selectors, drains upstreams and shows the state of the fleet.

Exit codes: 0 success, 1 failure, 2 invalid declarations or usage,
3 conflict with another operator's commit, 4 outcome of the commit unknown,
5 differences found (diff --exit-code).`

// NewCommand returns the root command.
func NewCommand(out, errOut io.Writer) *cobra.Command {
	c := &cli{out: out, errOut: errOut}
	root := &cobra.Command{
		Use: "vtctl", Short: "Operate a verbenatrail fleet", Long: longHelp, Version: version(),
		SilenceErrors: true, SilenceUsage: true, Args: usageArgs(cobra.NoArgs),
		RunE:              func(command *cobra.Command, _ []string) error { return command.Help() },
		PersistentPreRunE: func(command *cobra.Command, _ []string) error { return c.prepare(command) },
	}
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.WithMessage(errUsage, err.Error()) })
	flags := root.PersistentFlags()
	flags.StringVar(&c.configFile, "config", os.Getenv("VTCTL_CONFIG"), "settings file, YAML; default from VTCTL_CONFIG")
	flags.StringVarP(&c.output, "output", "o", outputText, "output format: text, json, or yaml for get all")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "time limit of the command")
	flags.StringSlice("key-value", nil, "base URLs of the key-value service")
	flags.String("author", "", "author recorded with commits; default the user's name")
	root.AddCommand(c.checkCommand(), c.diffCommand(), c.applyCommand(), c.getCommand(),
		c.statusCommand(), c.drainCommand(), c.undrainCommand())
	return root
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

// prepare reads the settings file and applies the flags, which take precedence.
func (c *cli) prepare(command *cobra.Command) error {
	if c.output != outputText && c.output != outputJSON && c.output != outputYAML {
		return errors.WithMessagef(errUsage, "unknown output format %q: use text, json or yaml", c.output)
	}
	if c.configFile != "" {
		if err := settings.Load(c.configFile, &c.settings); err != nil {
			return errors.WithMessage(errUsage, err.Error())
		}
	}
	if endpoints, _ := command.Flags().GetStringSlice("key-value"); len(endpoints) > 0 {
		c.settings.KeyValue = endpoints
	}
	if author, _ := command.Flags().GetString("author"); author != "" {
		c.settings.Author = author
	}
	if c.settings.Author == "" {
		c.settings.Author = userName()
	}
	return nil
}

func userName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

func (c *cli) store() (*etcdjson.Store, error) {
	if len(c.settings.KeyValue) == 0 {
		return nil, errors.WithMessage(errUsage, "no key-value service: give --key-value or set key_value in the settings file")
	}
	return etcdjson.New(etcdjson.Options{Endpoints: c.settings.KeyValue})
}

// withTimeout returns the command's context, bounded by --timeout.
func (c *cli) withTimeout(command *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(command.Context(), c.timeout)
}

// load returns a configuration reader and the newest declarations.
func (c *cli) load(ctx context.Context) (*configstore.Reader, *configstore.FullCopy, error) {
	store, err := c.store()
	if err != nil {
		return nil, nil, err
	}
	reader := configstore.NewReader(store)
	current, err := reader.LoadAll(ctx)
	return reader, current, err
}

// committer returns a committer whose next revision is greater than above.
func (c *cli) committer(above uint64) (*configstore.Committer, error) {
	store, err := c.store()
	if err != nil {
		return nil, err
	}
	return configstore.NewCommitter(configstore.CommitterOptions{Store: store, Author: c.settings.Author, AboveRevision: above}), nil
}

// usageArgs wraps an argument check so that its errors are usage errors.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return errors.WithMessage(errUsage, err.Error())
		}
		return nil
	}
}
