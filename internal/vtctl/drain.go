package vtctl

import (
	"context"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/declare"
)

// maxDrainAttempts bounds the attempts of a drain that conflicts with other commits.
const maxDrainAttempts = 10

func (c *cli) drainCommand() *cobra.Command {
	return c.drainingCommand("drain NAME", "Stop sending new work to an engine or service instance", true)
}

func (c *cli) undrainCommand() *cobra.Command {
	return c.drainingCommand("undrain NAME", "Resume sending work to a drained upstream", false)
}

func (c *cli) drainingCommand(use, short string, drained bool) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: usageArgs(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			ctx, cancel := c.withTimeout(command)
			defer cancel()
			return c.setDrained(ctx, args[0], drained)
		},
	}
}

// setDrained commits the drain on top of the newest revision. A drain depends only
// on its upstream, so after a conflict it is retried on the new revision.
func (c *cli) setDrained(ctx context.Context, name string, drained bool) error {
	committer, err := c.committer(0)
	if err != nil {
		return err
	}
	for range maxDrainAttempts {
		result, err := c.drainOnce(ctx, committer, name, drained)
		if err == nil {
			return c.printApplied(result)
		}
		if !errors.Is(err, configstore.ErrConflict) {
			return err
		}
	}
	return errors.New("too many conflicting commits: try again")
}

func (c *cli) drainOnce(ctx context.Context, committer *configstore.Committer, name string, drained bool) (applyResult, error) {
	_, current, err := c.load(ctx)
	if err != nil {
		return applyResult{}, err
	}
	change := declare.Change{Kind: declare.KindDrain, Name: name}
	if drained {
		change.Drain = &declare.Drain{Name: name}
	}
	if current.Declarations.Has(declare.KindDrain, name) == drained {
		return applyResult{Revision: current.Revision}, nil
	}
	changes := []declare.Change{change}
	if err := current.Declarations.Apply(changes).Check(); err != nil {
		return applyResult{}, err
	}
	revision, err := committer.Commit(ctx, current.Revision, changes)
	return applyResult{revision, true, changes}, err
}
