package kvserver

import (
	"net/http"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// call describes one unary method of the gateway.
type call[Req any, Resp any] struct {
	// writes reports whether a request counts as a write.
	writes func(req Req) bool
	// keys returns the keys that the request may write.
	keys func(req Req) [][]byte
	// count increments the counter of the method.
	count func(c *Calls)
	// run executes the request. The caller holds the server's mutex.
	run func(s *Server, now time.Time, req Req) (Resp, error)
}

// handle returns the HTTP handler of one method.
func handle[Req any, Resp any](s *Server, c call[Req, Resp]) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if !s.admit(w, r, &req, func() bool { return c.writes(req) }) {
			return
		}
		resp, err := runLocked(s, c, req)
		if c.writes(req) && s.losesReply(c.keys(req)) {
			s.count(func(state *State) { state.RepliesLost++ })
			standin.CutConnection()
		}
		if err != nil {
			writeError(w, err)
			return
		}
		standin.WriteJSON(w, http.StatusOK, resp)
	}
}

func runLocked[Req any, Resp any](s *Server, c call[Req, Resp], req Req) (Resp, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	c.count(&s.state.Calls)
	resp, err := c.run(s, s.clock.Now(), req)
	if err == nil && c.writes(req) {
		s.changedLocked()
	}
	return resp, err
}

func always[Req any](Req) bool     { return true }
func never[Req any](Req) bool      { return false }
func noKeys[Req any](Req) [][]byte { return nil }

var callRange = call[rangeRequest, *rangeResponse]{
	writes: never[rangeRequest],
	keys:   noKeys[rangeRequest],
	count:  func(c *Calls) { c.Range++ },
	run: func(s *Server, _ time.Time, req rangeRequest) (*rangeResponse, error) {
		return s.store.rangeKeys(req), nil
	},
}

var callPut = call[putRequest, *putResponse]{
	writes: always[putRequest],
	keys:   func(req putRequest) [][]byte { return [][]byte{req.Key} },
	count:  func(c *Calls) { c.Put++ },
	run: func(s *Server, _ time.Time, req putRequest) (*putResponse, error) {
		return s.store.put(req)
	},
}

var callDelete = call[deleteRequest, *deleteResponse]{
	writes: always[deleteRequest],
	keys:   func(req deleteRequest) [][]byte { return [][]byte{req.Key} },
	count:  func(c *Calls) { c.Delete++ },
	run: func(s *Server, _ time.Time, req deleteRequest) (*deleteResponse, error) {
		return s.store.deleteRange(req), nil
	},
}

var callTxn = call[txnRequest, *txnResponse]{
	writes: txnRequest.writes,
	keys:   txnRequest.writtenKeys,
	count:  func(c *Calls) { c.Txn++ },
	run: func(s *Server, _ time.Time, req txnRequest) (*txnResponse, error) {
		return s.store.txn(req)
	},
}

var callGrant = call[leaseRequest, leaseResponse]{
	writes: always[leaseRequest],
	keys:   noKeys[leaseRequest],
	count:  func(c *Calls) { c.Grant++ },
	run: func(s *Server, now time.Time, req leaseRequest) (leaseResponse, error) {
		id, err := s.store.grant(now, int64(req.ID), time.Duration(req.TTL)*time.Second)
		return leaseResponse{Header: s.store.header(), ID: Int64(id), TTL: req.TTL}, err
	},
}

var callKeepAlive = call[leaseRequest, leaseStreamMessage]{
	writes: always[leaseRequest],
	keys:   noKeys[leaseRequest],
	count:  func(c *Calls) { c.KeepAlive++ },
	run: func(s *Server, now time.Time, req leaseRequest) (leaseStreamMessage, error) {
		// The reply for an unknown lease has a TTL of zero, as with the real gateway.
		ttl, _ := s.store.renew(now, int64(req.ID))
		resp := leaseResponse{Header: s.store.header(), ID: req.ID, TTL: ttlSeconds(ttl)}
		return leaseStreamMessage{Result: resp}, nil
	},
}

var callRevoke = call[leaseRequest, leaseResponse]{
	writes: always[leaseRequest],
	keys:   noKeys[leaseRequest],
	count:  func(c *Calls) { c.Revoke++ },
	run: func(s *Server, _ time.Time, req leaseRequest) (leaseResponse, error) {
		err := s.store.revoke(int64(req.ID))
		return leaseResponse{Header: s.store.header()}, err
	},
}

var callTimeToLive = call[leaseRequest, leaseResponse]{
	writes: never[leaseRequest],
	keys:   noKeys[leaseRequest],
	count:  func(c *Calls) { c.TimeToLive++ },
	run: func(s *Server, now time.Time, req leaseRequest) (leaseResponse, error) {
		return s.store.timeToLive(now, req), nil
	},
}
