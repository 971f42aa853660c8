// Package daemon implements the router, directory and steward processes and their
// settings.
package daemon

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/claims"
	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/owner"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/relay"
	"github.com/verbenatrail/verbenatrail/internal/retry"
	"github.com/verbenatrail/verbenatrail/internal/router"
	"github.com/verbenatrail/verbenatrail/internal/settings"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

// Listen are the host:port addresses that a process listens on.
type Listen struct {
	// Callers is the address for callers.
	Callers string `yaml:"callers" validate:"required,hostname_port"`
	// Peers is the address for other daemons, over TCP and UDP.
	Peers string `yaml:"peers" validate:"required,hostname_port"`
	// Admin is the address for metrics and status.
	Admin string `yaml:"admin" validate:"required,hostname_port"`
}

// Platform are the addresses of the platform's services.
type Platform struct {
	// KeyValue are the base URLs of the key-value service.
	KeyValue []string `yaml:"key_value" validate:"required,dive,url"`
	// HostList is the base URL of the host list.
	HostList string `yaml:"host_list" validate:"required,url"`
}

// Common are the settings that routers and directories share.
type Common struct {
	// Name is the process's name in the host list.
	Name string `yaml:"name" validate:"required,max=64"`
	// Region is the region of the process's host.
	Region string `yaml:"region" validate:"required,max=64"`
	// FailureDomain is the failure domain of the process's host.
	FailureDomain string             `yaml:"failure_domain" validate:"required,max=64"`
	Listen        Listen             `yaml:"listen"`
	Platform      Platform           `yaml:"platform"`
	Telemetry     telemetry.Settings `yaml:"telemetry"`
	Cluster       cluster.Settings   `yaml:"cluster"`
	// Strategy is the placement strategy that ranks the engines for a chat.
	Strategy string `yaml:"placement" validate:"required"`
	// AddressValidity is how long callers may cache an address, and how long a
	// router that is leaving continues to serve.
	AddressValidity settings.Duration `yaml:"address_validity" validate:"gt=0"`
	// ConfigWatchers is the number of routers in each failure domain that
	// watch the key-value service; the others get the configuration from peers.
	ConfigWatchers int `yaml:"config_watchers" validate:"gt=0"`
}

// RouterSettings are the settings of vt-router.
type RouterSettings struct {
	Common      `yaml:",inline"`
	Callers     router.Settings      `yaml:"callers"`
	Relay       relay.Settings       `yaml:"relay"`
	Owner       owner.Settings       `yaml:"owner"`
	Retry       retry.Settings       `yaml:"retry"`
	Containment containment.Settings `yaml:"containment"`
	Claims      claims.Settings      `yaml:"claims"`
	// StopTimeout is the maximum wait for requests in flight at a graceful stop. Those that
	// are left are then ended, within a second.
	StopTimeout settings.Duration `yaml:"stop_timeout" validate:"gt=0"`
}

// DirectorySettings are the settings of vt-directory.
type DirectorySettings struct {
	Common `yaml:",inline"`
}

const (
	defaultAddressValidity = 3 * time.Second
	defaultStopTimeout     = 2 * time.Minute
	defaultConfigWatchers  = 2
)

func defaultCommon() Common {
	return Common{
		Telemetry:       telemetry.DefaultSettings(),
		Cluster:         cluster.DefaultSettings(),
		Strategy:        placement.NameRendezvous,
		AddressValidity: settings.Duration(defaultAddressValidity),
		ConfigWatchers:  defaultConfigWatchers,
	}
}

// DefaultRouterSettings returns the default settings, which a file overrides.
func DefaultRouterSettings() RouterSettings {
	return RouterSettings{
		Common:      defaultCommon(),
		Callers:     router.DefaultSettings(),
		Relay:       relay.DefaultSettings(),
		Owner:       owner.DefaultSettings(),
		Retry:       retry.DefaultSettings(),
		Containment: containment.DefaultSettings(),
		Claims:      claims.DefaultSettings(),
		StopTimeout: settings.Duration(defaultStopTimeout),
	}
}

// DefaultDirectorySettings returns the default settings, which a file overrides.
func DefaultDirectorySettings() DirectorySettings {
	return DirectorySettings{Common: defaultCommon()}
}

// host returns the process's own entry in the host list.
func (c *Common) host(kind hostlist.Kind) hostlist.Host {
	return hostlist.Host{
		Name: c.Name, Kind: kind, Address: c.Listen.Callers, PeerAddress: c.Listen.Peers,
		Region: c.Region, FailureDomain: c.FailureDomain, State: hostlist.StateLive,
	}
}
