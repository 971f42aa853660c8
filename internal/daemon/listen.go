package daemon

import (
	"net"

	"github.com/pkg/errors"
)

// listeners are the TCP listeners of a process.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
}

func listenAll(l Listen) (*listeners, error) {
	callers, err := listen("listen.callers", l.Callers)
	if err != nil {
		return nil, err
	}
	peers, err := listen("listen.peers", l.Peers)
	if err != nil {
		return nil, err
	}
	admin, err := listen("listen.admin", l.Admin)
	if err != nil {
		return nil, err
	}
	return &listeners{callers: callers, peers: peers, admin: admin}, nil
}

func listen(setting, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "can't listen on the address in %s: choose another port or stop the process that uses it", setting)
	}
	return listener, nil
}
