package vtctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/declare"
)

const (
	// baseFileName is the file next to the declarations that records the revision
	// they were last applied as. It is kept in version control with them.
	baseFileName = ".vtctl-base"
	// baseCurrent selects the newest revision as base, whoever committed it.
	baseCurrent = "current"
)

// applyResult is the JSON output of apply, drain and undrain.
type applyResult struct {
	// Revision is the committed revision, or the newest one when nothing was
	// committed.
	Revision  uint64           `json:"revision"`
	Committed bool             `json:"committed"`
	Changes   []declare.Change `json:"changes"`
}

func (c *cli) applyCommand() *cobra.Command {
	var base string
	var above uint64
	command := &cobra.Command{
		Use: "apply PATH", Short: "Commit declarations as a new revision", Args: usageArgs(cobra.ExactArgs(1)),
		Long: `apply replaces the declarations of the fleet with those at PATH.

The base is the revision that the files were written against. If the files would
undo changes that others have committed since, apply fails with a conflict
(exit code 3) and changes nothing. The base is read from ` + baseFileName + `
next to the files, which apply writes; keep it in version control with them.`,
		Example: "  vtctl apply declarations/\n  vtctl apply declarations/ --base 12",
	}
	command.Flags().StringVar(&base, "base", "", "revision that the files are based on, or "+baseCurrent+" to override commits of others")
	command.Flags().Uint64Var(&above, "above", 0, "commit a revision greater than this one, after the key-value service was restored from an older copy")
	command.RunE = func(command *cobra.Command, args []string) error {
		ctx, cancel := c.withTimeout(command)
		defer cancel()
		return c.apply(ctx, args[0], base, above)
	}
	return command
}

func (c *cli) apply(ctx context.Context, path, base string, above uint64) error {
	desired, err := declare.Load(path)
	if err != nil {
		return err
	}
	reader, current, err := c.load(ctx)
	if err != nil {
		return err
	}
	changes := declare.Diff(current.Declarations, desired.WithDrainsOf(current.Declarations))
	if len(changes) == 0 && above < current.Revision {
		return c.finishApply(path, applyResult{Revision: current.Revision})
	}
	if err := c.checkBase(ctx, reader, current, changes, path, base); err != nil {
		return err
	}
	committer, err := c.committer(above)
	if err != nil {
		return err
	}
	revision, err := committer.Commit(ctx, current.Revision, changes)
	if err != nil {
		return err
	}
	return c.finishApply(path, applyResult{revision, true, changes})
}

// checkBase returns an error if the changes would undo commits made after the base.
func (c *cli) checkBase(ctx context.Context, reader *configstore.Reader, current *configstore.FullCopy, changes []declare.Change, path, flag string) error {
	if flag == baseCurrent || current.Revision == 0 {
		return nil
	}
	base, err := baseRevision(path, flag, current.Revision)
	if err != nil {
		return err
	}
	if base > current.Revision {
		return errors.WithMessagef(errUsage, "base %d is newer than the newest revision %d: check the address of the key-value service", base, current.Revision)
	}
	return reader.CheckOverlap(ctx, base, current.Revision, changes)
}

func baseRevision(path, flag string, current uint64) (uint64, error) {
	text := flag
	if text == "" {
		data, err := os.ReadFile(baseFile(path))
		if errors.Is(err, os.ErrNotExist) {
			return 0, errors.WithMessagef(errUsage, "base revision of the files unknown: compare with `vtctl diff %s`, then apply with --base %d", path, current)
		}
		if err != nil {
			return 0, errors.Wrap(err, "cannot read base file: give --base")
		}
		text = strings.TrimSpace(string(data))
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.WithMessagef(errUsage, "invalid base revision %q: give --base with a number", text)
	}
	return base, nil
}

// baseFile returns the path of the base file for a directory or a file in it.
func baseFile(path string) string {
	if info, err := os.Stat(path); err == nil && !info.IsDir() {
		path = filepath.Dir(path)
	}
	return filepath.Join(path, baseFileName)
}

// finishApply writes the base file and prints the result.
func (c *cli) finishApply(path string, result applyResult) error {
	text := strconv.FormatUint(result.Revision, 10) + "\n"
	if err := os.WriteFile(baseFile(path), []byte(text), 0o644); err != nil {
		fmt.Fprintf(c.errOut, "vtctl: base file not written, give --base %d next time: %v\n", result.Revision, err)
	}
	return c.printApplied(result)
}

func (c *cli) printApplied(result applyResult) error {
	if result.Changes == nil {
		result.Changes = []declare.Change{}
	}
	return c.print(result, func(out io.Writer) {
		if !result.Committed {
			fmt.Fprintf(out, "no change: revision %d\n", result.Revision)
			return
		}
		fmt.Fprintf(out, "committed revision %d: %d changes\n", result.Revision, len(result.Changes))
	})
}
