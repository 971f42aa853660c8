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
	defaultStewardLease   = 10 * time.Second
	minStewardLease       = 2 * time.Second
	defaultClockAllowance = time.Second
	defaultLoadsPerMinute = 30
	defaultLoadBurst      = 2
	stewardListInterval   = 2 * time.Second
)

// StewardSettings are the settings of vt-steward.
type StewardSettings struct {
	// Name is the process's name, unique among stewards.
	Name      string             `yaml:"name" validate:"required,max=64"`
	Listen    StewardListen      `yaml:"listen"`
	Platform  Platform           `yaml:"platform"`
	Telemetry telemetry.Settings `yaml:"telemetry"`
	// Lease is the time after which a silent holder is replaced, in whole
	// seconds, at least two.
	Lease settings.Duration `yaml:"lease" validate:"gt=0"`
	// ClockAllowance is the most by which clocks drift apart within a lease; less
	// than half of it.
	ClockAllowance settings.Duration `yaml:"clock_allowance" validate:"gt=0,ltfield=Lease"`
	// LoadsPerMinute bounds the loads of weights in the whole fleet.
	LoadsPerMinute float64 `yaml:"loads_per_minute" validate:"gt=0"`
	// LoadBurst is the number of loads that may follow one another at once.
	LoadBurst int `yaml:"load_burst" validate:"gt=0"`
}

// StewardListen are the addresses that a steward serves.
type StewardListen struct {
	// Admin serves metrics and status.
	Admin string `yaml:"admin" validate:"required,hostname_port"`
}

// DefaultStewardSettings returns the settings that a file is read over.
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
	// Fence is that of this process's term, zero when it doesn't hold the lease.
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

// NewSteward assembles a steward; Run starts it.
func NewSteward(s StewardSettings, logger *logrus.Logger) (*Steward, error) {
	if s.Lease.Std() < minStewardLease {
		return nil, errors.Errorf("lease is under %v: raise it", minStewardLease)
	}
	if 2*s.ClockAllowance.Std() >= s.Lease.Std() {
		return nil, errors.New("clock_allowance is half of lease or more: raise lease or lower clock_allowance")
	}
	store, err := etcdjson.New(etcdjson.Options{Endpoints: s.Platform.KeyValue})
	if err != nil {
		return nil, errors.Wrap(err, "platform.key_value")
	}
	p := &Steward{settings: s, logger: logger, registry: telemetry.NewRegistry()}
	p.config = configstore.New(configstore.Options{
		Store: store, IsWatcher: func() bool { return p.steward.Fence() > 0 }, Registry: p.registry, Logger: logger,
	})
	bounds := orders.DefaultSettings(s.Lease.Std(), s.ClockAllowance.Std())
	bounds.LoadsPerMinute = s.LoadsPerMinute
	bounds.LoadBurst = s.LoadBurst
	p.steward = steward.New(steward.Options{
		Store: store, Name: s.Name, HostList: s.Platform.HostList, HostListInterval: stewardListInterval,
		Config: p.config.Snapshot, LeaseTTL: s.Lease.Std(), Orders: bounds, Registry: p.registry, Logger: logger,
	})
	return p, nil
}

// Run serves until the context ends.
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
