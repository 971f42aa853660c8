package vtctl

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/declare"
)

// checkResult is the JSON output of check.
type checkResult struct {
	OK     bool                     `json:"ok"`
	Errors declare.ValidationErrors `json:"mistakes,omitempty"`
	Counts *counts                  `json:"counts,omitempty"`
}

type counts struct {
	Workspaces int `json:"workspaces"`
	Engines    int `json:"engines"`
	Services   int `json:"services"`
	Selectors  int `json:"selectors"`
}

func countObjects(d *declare.Declarations) *counts {
	return &counts{len(d.Workspaces), len(d.Engines), len(d.Services), len(d.Selectors)}
}

func (c *cli) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check PATH", Short: "Check declarations offline", Args: usageArgs(cobra.ExactArgs(1)),
		Example: "  vtctl check declarations/",
		RunE:    func(_ *cobra.Command, args []string) error { return c.check(args[0]) },
	}
}

func (c *cli) check(path string) error {
	d, err := declare.Load(path)
	var invalid declare.ValidationErrors
	if errors.As(err, &invalid) && c.output == outputJSON {
		_ = c.print(checkResult{Errors: invalid}, nil)
		return err
	}
	if err != nil {
		return err
	}
	n := countObjects(d)
	return c.print(checkResult{OK: true, Counts: n}, func(out io.Writer) {
		fmt.Fprintf(out, "ok: %d workspaces, %d engines, %d services, %d selectors\n",
			n.Workspaces, n.Engines, n.Services, n.Selectors)
	})
}
