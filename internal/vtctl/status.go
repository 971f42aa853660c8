package vtctl

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/status"
)

// maxStatusCalls bounds the pages that are asked for at once.
const maxStatusCalls = 32

// statusResult is the JSON output of status.
type statusResult struct {
	// Newest is the newest revision in the key-value service, absent when the
	// service wasn't asked or didn't answer.
	Newest  *uint64        `json:"newest_revision,omitempty"`
	Daemons []daemonStatus `json:"daemons"`
	Pools   []status.Load  `json:"pools,omitempty"`
}

type daemonStatus struct {
	Address string `json:"address"`
	// Error says why there is no page.
	Error string       `json:"error,omitempty"`
	Page  *status.Page `json:"page,omitempty"`
}

func (c *cli) statusCommand() *cobra.Command {
	var routers []string
	var hostList string
	var adminPort int
	command := &cobra.Command{
		Use: "status", Short: "Show revision, load, reuse and control bytes of each daemon",
		Args: arguments(cobra.NoArgs), Example: "  vtctl status --routers 127.0.0.1:9101,127.0.0.1:9102",
	}
	command.Flags().StringSliceVar(&routers, "routers", nil, "admin addresses of daemons")
	command.Flags().StringVar(&hostList, "host-list", "", "base URL of the host list, asked when --routers isn't given")
	command.Flags().IntVar(&adminPort, "admin-port", 0, "port of admin pages on the hosts of the list")
	command.RunE = func(command *cobra.Command, _ []string) error {
		ctx, cancel := c.limit(command)
		defer cancel()
		c.overrideStatus(routers, hostList, adminPort)
		return c.status(ctx)
	}
	return command
}

func (c *cli) overrideStatus(routers []string, hostList string, adminPort int) {
	if len(routers) > 0 {
		c.settings.Routers = routers
	}
	if hostList != "" {
		c.settings.HostList = hostList
	}
	if adminPort != 0 {
		c.settings.AdminPort = adminPort
	}
}

func (c *cli) status(ctx context.Context) error {
	addresses, err := c.adminAddresses(ctx)
	if err != nil {
		return err
	}
	result := statusResult{Newest: c.newestRevision(ctx), Daemons: askAll(ctx, addresses)}
	result.Pools = status.Loads(result.pages())
	if err := c.print(result, result.text); err != nil {
		return err
	}
	if missing := len(addresses) - len(result.pages()); missing > 0 {
		return errors.Errorf("%d of %d daemons gave no status: see the errors above", missing, len(addresses))
	}
	return nil
}

func (c *cli) adminAddresses(ctx context.Context) ([]string, error) {
	if len(c.settings.Routers) > 0 {
		return c.settings.Routers, nil
	}
	if c.settings.HostList == "" || c.settings.AdminPort == 0 {
		return nil, errors.WithMessage(errUsage, "no daemons: give --routers, or --host-list with --admin-port")
	}
	var list hostlist.List
	if err := getJSON(ctx, c.settings.HostList+hostlist.Path, &list); err != nil {
		return nil, errors.WithMessage(err, "host list")
	}
	var addresses []string
	for _, host := range list.Hosts {
		ip, _, err := net.SplitHostPort(host.Address)
		if err == nil && (host.Kind == hostlist.KindRouter || host.Kind == hostlist.KindDirectory) {
			addresses = append(addresses, net.JoinHostPort(ip, strconv.Itoa(c.settings.AdminPort)))
		}
	}
	return addresses, nil
}

// newestRevision returns nil when the service can't be asked.
func (c *cli) newestRevision(ctx context.Context) *uint64 {
	if len(c.settings.KeyValue) == 0 {
		return nil
	}
	store, err := c.store()
	if err != nil {
		return nil
	}
	head, err := configstore.NewReader(store).Head(ctx)
	if err != nil {
		fmt.Fprintf(c.errOut, "vtctl: newest revision not known: %v\n", err)
		return nil
	}
	return &head.Revision
}

func askAll(ctx context.Context, addresses []string) []daemonStatus {
	out := make([]daemonStatus, len(addresses))
	slots := make(chan struct{}, maxStatusCalls)
	var group sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			out[i] = ask(ctx, address)
		})
	}
	group.Wait()
	return out
}

func ask(ctx context.Context, address string) daemonStatus {
	var page status.Page
	if err := getJSON(ctx, "http://"+address+status.Path, &page); err != nil {
		return daemonStatus{Address: address, Error: err.Error()}
	}
	return daemonStatus{Address: address, Page: &page}
}

func getJSON(ctx context.Context, url string, out any) error {
	request, err := sling.New().Get(url).Request()
	if err != nil {
		return errors.Wrap(err, "check the address")
	}
	response, err := sling.New().Do(request.WithContext(ctx), out, nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered with status %d", url, response.StatusCode)
	}
	return nil
}

func (r statusResult) pages() []status.Page {
	var pages []status.Page
	for _, daemon := range r.Daemons {
		if daemon.Page != nil {
			pages = append(pages, *daemon.Page)
		}
	}
	return pages
}

func (r statusResult) text(out io.Writer) {
	if r.Newest != nil {
		fmt.Fprintf(out, "newest revision: %d\n", *r.Newest)
	}
	rows := [][]string{{"DAEMON", "KIND", "ADDRESS", "REVISION", "OWNED", "IN FLIGHT", "WAITING", "REUSE", "CONTROL B/S"}}
	for _, daemon := range r.Daemons {
		rows = append(rows, daemon.row())
	}
	table(out, rows)
	if len(r.Pools) > 0 {
		table(out, r.poolRows())
	}
	if upstreams := r.upstreamRows(); len(upstreams) > 1 {
		table(out, upstreams)
	}
}

func (d daemonStatus) row() []string {
	if d.Page == nil {
		return []string{"-", "-", d.Address, "-", "-", "-", "-", "-", d.Error}
	}
	inFlight, waiting := 0, 0
	for _, u := range d.Page.Upstreams {
		inFlight += u.InFlight
		waiting += u.Waiting
	}
	return []string{
		d.Page.Name, d.Page.Kind, d.Address, strconv.FormatUint(d.Page.ConfigRevision, 10), strconv.Itoa(len(d.Page.Upstreams)),
		strconv.Itoa(inFlight), strconv.Itoa(waiting), floatText(d.Page.CacheReuse, 3), floatText(d.Page.ControlBytesPerSecond, 0),
	}
}

func (r statusResult) poolRows() [][]string {
	rows := [][]string{{"POOL", "UPSTREAMS", "MEAN IN FLIGHT", "SKEW"}}
	for _, load := range r.Pools {
		rows = append(rows, []string{load.Pool, strconv.Itoa(load.Upstreams), floatText(&load.Mean, 2), floatText(&load.Skew, 2)})
	}
	return rows
}

func (r statusResult) upstreamRows() [][]string {
	rows := [][]string{{"UPSTREAM", "POOL", "STATE", "IN FLIGHT", "WAITING", "BOUND", "OWNER"}}
	for _, page := range r.pages() {
		for _, u := range page.Upstreams {
			rows = append(rows, []string{
				u.Name, u.Pool, u.State, strconv.Itoa(u.InFlight), strconv.Itoa(u.Waiting), capacityText(u.Bound), page.Name,
			})
		}
	}
	return rows
}

// floatText returns a dash for what a daemon doesn't know.
func floatText(value *float64, digits int) string {
	if value == nil {
		return "-"
	}
	return strconv.FormatFloat(*value, 'f', digits, 64)
}
