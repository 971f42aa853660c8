package daemon

import (
	"context"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/directory"
	"github.com/verbenatrail/verbenatrail/internal/forward"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/peer"
)

// Directory is one vt-directory process.
type Directory struct {
	*node
	settings       DirectorySettings
	addressHandler *directory.Directory
}

// directoryRememberedChats is the smallest capacity of the planner's affinity
// cache. A directory doesn't use the cache: its answers depend only on the placement
// ranking, so that all directories give the same ones.
const directoryRememberedChats = 1

// NewDirectory creates a directory; Run starts it.
func NewDirectory(s DirectorySettings, logger *logrus.Logger) (*Directory, error) {
	n, err := newNode(s.Common, hostlist.KindDirectory, directoryRememberedChats, logger)
	if err != nil {
		return nil, err
	}
	addressHandler := directory.New(n.planner, n.cluster.View, s.AddressValidity.Std(), n.registry)
	return &Directory{node: n, settings: s, addressHandler: addressHandler}, nil
}

// Run serves callers until the context is done.
func (d *Directory) Run(ctx context.Context) error {
	listeners, err := listenAll(d.settings.Listen)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	d.start(ctx, group)
	handler := &forward.Handler{Config: d.config}
	group.Go(func() error { return peer.NewServer(listeners.peers, handler).Run(ctx) })
	group.Go(func() error { return serveHTTP(ctx, listeners.callers, d.addressHandler) })
	group.Go(func() error { return serveHTTP(ctx, listeners.admin, d.adminHandler(d.status, d.ready)) })
	d.logger.WithField("address", d.settings.Listen.Callers).Info("directory started")
	return group.Wait()
}

func (d *Directory) ready() bool { return d.cluster.View().HostListLoaded }

func (d *Directory) status() any { return d.commonStatus() }
