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
	settings DirectorySettings
	answers  *directory.Directory
}

// noMemory makes answers depend on the rank alone, as they do at every directory.
const noMemory = 1

// NewDirectory assembles a directory; Run starts it.
func NewDirectory(s DirectorySettings, logger *logrus.Logger) (*Directory, error) {
	n, err := newNode(s.Common, hostlist.KindDirectory, noMemory, logger)
	if err != nil {
		return nil, err
	}
	answers := directory.New(n.planner, n.cluster.View, s.AddressValidity.Std(), n.registry)
	return &Directory{node: n, settings: s, answers: answers}, nil
}

// Run answers callers until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	listeners, err := listenAll(d.settings.Listen)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	d.start(ctx, group)
	handler := &forward.Handler{Config: d.config}
	group.Go(func() error { return peer.NewServer(listeners.peers, handler).Run(ctx) })
	group.Go(func() error { return serveHTTP(ctx, listeners.callers, d.answers) })
	group.Go(func() error { return serveHTTP(ctx, listeners.admin, d.adminHandler(d.status, d.ready)) })
	d.logger.WithField("address", d.settings.Listen.Callers).Info("directory started")
	return group.Wait()
}

func (d *Directory) ready() bool { return d.cluster.View().HostListLoaded }

func (d *Directory) status() any { return d.commonStatus() }
