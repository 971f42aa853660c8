package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// wire counts the bytes to and from the key-value service, both ways.
type wire struct{ bytes atomic.Int64 }

func (w *wire) transport() http.RoundTripper {
	dialer := &net.Dialer{}
	return &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn, wire: w}, nil
		},
	}
}

// idleConnections bounds the idle connections of one daemon.
const idleConnections = 64

type countedConn struct {
	net.Conn
	wire *wire
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}
