package vtctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/status"
)

// maxConcurrentStatusRequests bounds the daemons that are queried concurrently.
const maxConcurrentStatusRequests = 32

const defaultSampleInterval = time.Second

// statusResult is the JSON output of status.
type statusResult struct {
	// NewestRevision is the newest revision in the key-value service, absent when
	// the service was not queried or did not answer.
	NewestRevision *uint64        `json:"newest_revision,omitempty"`
	Daemons        []daemonStatus `json:"daemons"`
	// Pools are absent when the declarations could not be read from the key-value service.
	Pools []status.PoolLoad `json:"pools,omitempty"`
}

type daemonStatus struct {
	Address string `json:"address"`
	// Error is the reason why Page is absent.
	Error string       `json:"error,omitempty"`
	Page  *status.Page `json:"page,omitempty"`
	// CacheReuse is the ratio of cached to all prompt tokens since the daemon's start.
	CacheReuse *float64 `json:"cache_reuse,omitempty"`
	// ControlBytesPerSecond is measured over the sample interval.
	ControlBytesPerSecond *float64 `json:"control_bytes_per_second,omitempty"`
}

func (c *cli) statusCommand() *cobra.Command {
	var routers []string
	var hostList string
	var adminPort int
	var sample time.Duration
	command := &cobra.Command{
		Use: "status", Short: "Show revision, load, cache reuse and control traffic of each daemon",
		Args: usageArgs(cobra.NoArgs), Example: "  vtctl status --routers 127.0.0.1:9101,127.0.0.1:9102",
	}
	command.Flags().StringSliceVar(&routers, "routers", nil, "admin addresses of daemons")
	command.Flags().StringVar(&hostList, "host-list", "", "base URL of the host list, used when --routers isn't given")
	command.Flags().IntVar(&adminPort, "admin-port", 0, "admin port of the daemons on listed hosts")
	command.Flags().DurationVar(&sample, "sample", defaultSampleInterval, "interval over which control bytes are measured")
	command.RunE = func(command *cobra.Command, _ []string) error {
		ctx, cancel := c.withTimeout(command)
		defer cancel()
		c.applyStatusFlags(routers, hostList, adminPort)
		return c.status(ctx, sample)
	}
	return command
}

func (c *cli) applyStatusFlags(routers []string, hostList string, adminPort int) {
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

func (c *cli) status(ctx context.Context, sample time.Duration) error {
	addresses, err := c.adminAddresses(ctx)
	if err != nil {
		return err
	}
	result := statusResult{Daemons: fetchStatuses(ctx, addresses, sample)}
	if current := c.declarations(ctx); current != nil {
		result.NewestRevision = &current.Revision
		snapshot := declare.CompileChecked(current.Declarations, current.Revision)
		result.Pools = status.PoolLoads(result.pages(), snapshot)
	}
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

// declarations returns nil when no key-value service is set or it can't be read.
func (c *cli) declarations(ctx context.Context) *configstore.FullCopy {
	if len(c.settings.KeyValue) == 0 {
		return nil
	}
	_, current, err := c.load(ctx)
	if err != nil {
		fmt.Fprintf(c.errOut, "vtctl: newest revision and pool loads unavailable: %v\n", err)
		return nil
	}
	return current
}

func fetchStatuses(ctx context.Context, addresses []string, sample time.Duration) []daemonStatus {
	out := make([]daemonStatus, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrentStatusRequests)
	for i, address := range addresses {
		group.Go(func() error {
			out[i] = fetchStatus(ctx, address, sample)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

func fetchStatus(ctx context.Context, address string, sample time.Duration) daemonStatus {
	var page status.Page
	if err := getJSON(ctx, "http://"+address+status.Path, &page); err != nil {
		return daemonStatus{Address: address, Error: err.Error()}
	}
	d := daemonStatus{Address: address, Page: &page}
	d.readMetrics(ctx, sample)
	return d
}

// readMetrics sets the control traffic rate and the cache reuse from two readings
// of the counters.
func (d *daemonStatus) readMetrics(ctx context.Context, sample time.Duration) {
	var before, after status.Metrics
	url := "http://" + d.Address + status.MetricsPath
	if getJSON(ctx, url, &before) != nil || sample <= 0 {
		return
	}
	started := time.Now()
	select {
	case <-time.After(sample):
	case <-ctx.Done():
		return
	}
	if getJSON(ctx, url, &after) != nil {
		return
	}
	rate := (after.ControlBytes() - before.ControlBytes()) / time.Since(started).Seconds()
	d.ControlBytesPerSecond = &rate
	if reuse, ok := after.CacheReuse(); ok {
		d.CacheReuse = &reuse
	}
}

func getJSON(ctx context.Context, url string, out any) error {
	request, err := sling.New().Get(url).Request()
	if err != nil {
		return errors.Wrap(err, "invalid address")
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

// revisionAhead returns the highest revision in force on a daemon if it is newer
// than the newest one in the key-value service, and zero otherwise.
func (r statusResult) revisionAhead() uint64 {
	if r.NewestRevision == nil {
		return 0
	}
	highest := uint64(0)
	for _, page := range r.pages() {
		highest = max(highest, page.ConfigRevision)
	}
	if highest <= *r.NewestRevision {
		return 0
	}
	return highest
}

func (r statusResult) text(out io.Writer) {
	if r.NewestRevision != nil {
		fmt.Fprintf(out, "newest revision: %d\n", *r.NewestRevision)
	}
	if ahead := r.revisionAhead(); ahead > 0 {
		fmt.Fprintf(out, "daemons have revision %d, which the key-value service lost: run `vtctl apply PATH --base current --above %d`\n", ahead, ahead)
	}
	rows := [][]string{{"DAEMON", "ADDRESS", "DOMAIN", "REVISION", "OWNED", "IN FLIGHT", "QUEUED", "REUSE", "CONTROL B/S"}}
	for _, daemon := range r.Daemons {
		rows = append(rows, daemon.row())
	}
	printTable(out, rows)
	if len(r.Pools) > 0 {
		fmt.Fprintln(out)
		printTable(out, r.poolRows())
	}
	if upstreams := r.upstreamRows(); len(upstreams) > 1 {
		fmt.Fprintln(out)
		printTable(out, upstreams)
	}
}

func (d daemonStatus) row() []string {
	if d.Page == nil {
		return []string{"-", d.Address, "-", "-", "-", "-", "-", "-", d.Error}
	}
	inFlight, queued := 0, 0
	for _, load := range d.Page.Loads {
		inFlight += load.InFlight
		queued += load.Queued
	}
	return []string{
		d.Page.Name, d.Address, d.Page.FailureDomain, strconv.FormatUint(d.Page.ConfigRevision, 10), strconv.Itoa(len(d.Page.Loads)),
		strconv.Itoa(inFlight), strconv.Itoa(queued), floatText(d.CacheReuse, 3), floatText(d.ControlBytesPerSecond, 0),
	}
}

func (r statusResult) poolRows() [][]string {
	rows := [][]string{{"POOL", "UPSTREAMS", "MEAN IN FLIGHT", "SKEW"}}
	for _, load := range r.Pools {
		rows = append(rows, []string{load.Pool, strconv.Itoa(load.Upstreams), floatText(&load.Mean, 2), floatText(&load.Skew, 2)})
	}
	return rows
}

// upstreamRows returns a row for each upstream that a router has served as its owner.
func (r statusResult) upstreamRows() [][]string {
	rows := [][]string{{"UPSTREAM", "IN FLIGHT", "QUEUED", "LIMIT", "OWNER", "STATE THERE"}}
	for _, page := range r.pages() {
		states := make(map[string]string, len(page.Upstreams))
		for _, u := range page.Upstreams {
			states[u.Name] = u.State
		}
		for _, load := range page.Loads {
			rows = append(rows, []string{
				load.Upstream, strconv.Itoa(load.InFlight), strconv.Itoa(load.Queued), strconv.Itoa(load.Limit), page.Name, cmp.Or(states[load.Upstream], "-"),
			})
		}
	}
	sort.SliceStable(rows[1:], func(i, j int) bool { return rows[i+1][0] < rows[j+1][0] })
	return rows
}

// floatText returns a dash for a value that the daemon did not report.
func floatText(value *float64, digits int) string {
	if value == nil {
		return "-"
	}
	return strconv.FormatFloat(*value, 'f', digits, 64)
}
