package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// byteCounter counts the bytes sent to and received from the key-value service.
type byteCounter struct{ bytes atomic.Int64 }

func (c *byteCounter) transport() http.RoundTripper {
	dialer := &net.Dialer{}
	return &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn, counter: c}, nil
		},
	}
}

// idleConnections is the maximum number of idle connections of one daemon.
const idleConnections = 64

type countedConn struct {
	net.Conn
	counter *byteCounter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}
