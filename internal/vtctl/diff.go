package vtctl

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/declare"
)

// diffResult is the JSON output of diff PATH.
type diffResult struct {
	// Revision is the newest revision, which the changes are relative to.
	Revision uint64           `json:"revision"`
	Changes  []declare.Change `json:"changes"`
}

// historyResult is the JSON output of diff --from.
type historyResult struct {
	From    uint64               `json:"from"`
	Records []configstore.Record `json:"records"`
}

func (c *cli) diffCommand() *cobra.Command {
	var from uint64
	var exitCode bool
	command := &cobra.Command{
		Use:   "diff [PATH]",
		Short: "Show what apply would change, or what was committed after a revision",
		Args:  usageArgs(cobra.MaximumNArgs(1)), Example: "  vtctl diff declarations/\n  vtctl diff --from 12",
	}
	command.Flags().Uint64Var(&from, "from", 0, "show the commits after this revision")
	command.Flags().BoolVar(&exitCode, "exit-code", false, "exit with 5 when there are differences")
	command.RunE = func(command *cobra.Command, args []string) error {
		ctx, cancel := c.withTimeout(command)
		defer cancel()
		different, err := c.diff(ctx, args, from, command.Flags().Changed("from"))
		if err == nil && different && exitCode {
			return errDifference
		}
		return err
	}
	return command
}

func (c *cli) diff(ctx context.Context, args []string, from uint64, history bool) (different bool, err error) {
	switch {
	case history && len(args) == 0:
		return c.diffHistory(ctx, from)
	case !history && len(args) == 1:
		return c.diffPath(ctx, args[0])
	default:
		return false, errors.WithMessage(errUsage, "give either a path or --from")
	}
}

func (c *cli) diffPath(ctx context.Context, path string) (bool, error) {
	desired, err := declare.Load(path)
	if err != nil {
		return false, err
	}
	_, current, err := c.load(ctx)
	if err != nil {
		return false, err
	}
	changes := declare.Diff(current.Declarations, desired.WithDrainsOf(current.Declarations))
	if changes == nil {
		changes = []declare.Change{}
	}
	return len(changes) > 0, c.print(diffResult{current.Revision, changes}, func(out io.Writer) {
		fmt.Fprintf(out, "against revision %d: %d changes\n", current.Revision, len(changes))
		for _, change := range changes {
			fmt.Fprintln(out, changeText(change, current.Declarations))
		}
	})
}

func (c *cli) diffHistory(ctx context.Context, from uint64) (bool, error) {
	store, err := c.store()
	if err != nil {
		return false, err
	}
	records, err := configstore.NewReader(store).History(ctx, from)
	if err != nil {
		return false, err
	}
	return len(records) > 0, c.print(historyResult{from, records}, func(out io.Writer) {
		fmt.Fprintf(out, "%d commits after revision %d\n", len(records), from)
		for _, record := range records {
			printRecord(out, record)
		}
	})
}

func printRecord(out io.Writer, record configstore.Record) {
	fmt.Fprintf(out, "revision %d by %s at %s\n", record.Revision, record.Author, record.CommittedAt.Format("2006-01-02T15:04:05Z07:00"))
	if record.Oversized {
		fmt.Fprintln(out, "  too many changes to list: compare with `vtctl diff PATH`")
	}
	for _, change := range record.Changes {
		fmt.Fprintln(out, "  "+changeText(change, nil))
	}
}
