package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/kv/etcdjson"
	"github.com/verbenatrail/verbenatrail/internal/orders"
	"github.com/verbenatrail/verbenatrail/internal/settings"
	"github.com/verbenatrail/verbenatrail/internal/steward"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

const (
	defaultStewardLease     = 10 * time.Second
	minStewardLease         = 2 * time.Second
	defaultClockAllowance   = time.Second
	defaultLoadsPerMinute   = 30
	defaultLoadBurst        = 2
	stewardHostListInterval = 2 * time.Second
)

// StewardSettings are the settings of vt-steward.
type StewardSettings struct {
	// Name is the process's name, unique among stewards.
	Name      string             `yaml:"name" validate:"required,max=64"`
	Listen    StewardListen      `yaml:"listen"`
	Platform  Platform           `yaml:"platform"`
	Telemetry telemetry.Settings `yaml:"telemetry"`
	// Lease is the time to live of the stewards' lease, in whole seconds, at least
	// two. A holder that doesn't renew it within this time is replaced.
	Lease settings.Duration `yaml:"lease" validate:"gt=0"`
	// ClockAllowance is the maximum drift between clocks during a lease. It must be
	// less than half of Lease.
	ClockAllowance settings.Duration `yaml:"clock_allowance" validate:"gt=0,ltfield=Lease"`
	// LoadsPerMinute is the maximum rate of model weight loads in the whole fleet.
	LoadsPerMinute float64 `yaml:"loads_per_minute" validate:"gt=0"`
	// LoadBurst is the maximum number of loads that start without a delay between
	// them.
	LoadBurst int `yaml:"load_burst" validate:"gt=0"`
}

// StewardListen are the host:port addresses that a steward listens on.
type StewardListen struct {
	// Admin is the address for metrics and status.
	Admin string `yaml:"admin" validate:"required,hostname_port"`
}

// DefaultStewardSettings returns the default settings, which a file overrides.
func DefaultStewardSettings() StewardSettings {
	return StewardSettings{
		Telemetry: telemetry.DefaultSettings(),
		Lease:     settings.Duration(defaultStewardLease), ClockAllowance: settings.Duration(defaultClockAllowance),
		LoadsPerMinute: defaultLoadsPerMinute, LoadBurst: defaultLoadBurst,
	}
}

// StewardStatus is the body of GET /status on a steward's admin address.
type StewardStatus struct {
	Name           string `json:"name"`
	ConfigRevision uint64 `json:"config_revision"`
	// Fence is the fencing token of the stewards' lease, zero if this process doesn't
	// hold it.
	Fence int64 `json:"fence"`
}

// Steward sends orders to engines while it holds the stewards' lease.
type Steward struct {
	settings StewardSettings
	logger   *logrus.Logger
	registry metrics.Registry
	config   *configstore.Manager
	steward  *steward.Steward
}

// NewSteward creates a steward; Run starts it.
func NewSteward(s StewardSettings, logger *logrus.Logger) (*Steward, error) {
	if s.Lease.Std() < minStewardLease {
		return nil, errors.Errorf("lease is shorter than %v: raise it", minStewardLease)
	}
	if 2*s.ClockAllowance.Std() >= s.Lease.Std() {
		return nil, errors.New("clock_allowance isn't less than half of lease: raise lease or lower clock_allowance")
	}
	store, err := etcdjson.New(etcdjson.Options{Endpoints: s.Platform.KeyValue})
	if err != nil {
		return nil, errors.Wrap(err, "platform.key_value")
	}
	p := &Steward{settings: s, logger: logger, registry: telemetry.NewRegistry()}
	p.config = configstore.New(configstore.Options{
		Store: store, IsWatcher: func() bool { return p.steward.Fence() > 0 }, Registry: p.registry, Logger: logger,
	})
	orderSettings := orders.DefaultSettings(s.Lease.Std(), s.ClockAllowance.Std())
	orderSettings.LoadsPerMinute = s.LoadsPerMinute
	orderSettings.LoadBurst = s.LoadBurst
	p.steward = steward.New(steward.Options{
		Store: store, Name: s.Name, HostList: s.Platform.HostList, HostListInterval: stewardHostListInterval,
		Config: p.config.Snapshot, LeaseTTL: s.Lease.Std(), Orders: orderSettings, Registry: p.registry, Logger: logger,
	})
	return p, nil
}

// Run serves until the context is done.
func (p *Steward) Run(ctx context.Context) error {
	listener, err := listen("listen.admin", p.settings.Listen.Admin)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	admin := (&node{registry: p.registry}).adminHandler(p.status, p.ready)
	group.Go(func() error { return serveHTTP(ctx, listener, admin) })
	group.Go(func() error { return p.config.Run(ctx) })
	group.Go(func() error { return p.steward.Run(ctx) })
	p.logger.WithField("admin", p.settings.Listen.Admin).Info("steward started")
	return group.Wait()
}

func (p *Steward) status() any {
	return StewardStatus{Name: p.settings.Name, ConfigRevision: p.config.Revision(), Fence: p.steward.Fence()}
}

func (p *Steward) ready() bool { return p.config.Snapshot() != nil }
