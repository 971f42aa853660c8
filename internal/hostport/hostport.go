// Package hostport checks addresses that other processes name, before they are dialed or
// sent datagrams.
package hostport

import (
	"net/netip"

	"github.com/pkg/errors"
)

// ErrInvalid means that a text is not the address of a socket on another host.
var ErrInvalid = errors.New("invalid address: an IPv4 address of one host and a port from 1 to 65535 are expected, such as 10.0.0.1:8080")

// broadcast is the address of all hosts of a network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Parse parses an IP address and port. Its error is ErrInvalid, also for addresses of no
// host or of several: all sockets of the routers are IPv4, and a datagram or connection to
// 0.0.0.0 would reach the sender itself.
func Parse(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(ErrInvalid, err.Error())
	}
	ip := address.Addr()
	if !ip.Is4() || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast || address.Port() == 0 {
		return netip.AddrPort{}, errors.Wrapf(ErrInvalid, "%s", text)
	}
	return address, nil
}
