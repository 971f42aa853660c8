package steward

import (
	"context"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/orders"
)

// readState reads the state of an engine and returns the resulting event.
func (s *Steward) readState(ctx context.Context, engine, address string) orders.Event {
	var state engineapi.OrderState
	request := sling.New().Get("http://" + address + engineapi.PathOrders)
	status, err := s.do(ctx, request, &state)
	if err != nil || status != http.StatusOK {
		s.counters.failedReads.Inc(1)
		return orders.CallFailed{Engine: engine}
	}
	s.counters.reads.Inc(1)
	return orders.StateReceived{Engine: engine, State: state}
}

// sendOrder sends an order to an engine and returns the resulting event.
func (s *Steward) sendOrder(ctx context.Context, send orders.Send, address string) orders.Event {
	ctx, cancel := context.WithDeadline(ctx, send.Until)
	defer cancel()
	var state engineapi.OrderState
	request := sling.New().Post("http://" + address + engineapi.PathOrders).BodyJSON(send.Order)
	status, err := s.do(ctx, request, &state)
	switch {
	case err == nil && status == http.StatusOK:
		s.counters.orders.Inc(1)
		return orders.StateReceived{Engine: send.Engine, State: state}
	case err == nil && status == http.StatusConflict:
		s.counters.refusedOrders.Inc(1)
		return orders.OrderRefused{Engine: send.Engine, State: state}
	default:
		s.counters.failedOrders.Inc(1)
		return orders.CallFailed{Engine: send.Engine}
	}
}

// do sends a request and decodes the response body, whatever the status.
func (s *Steward) do(ctx context.Context, request *sling.Sling, out any) (status int, err error) {
	httpRequest, err := request.Request()
	if err != nil {
		return 0, errors.Wrap(err, "create engine request")
	}
	response, err := request.Client(s.options.Client).Do(httpRequest.WithContext(ctx), out, out)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// liveEngines returns the addresses, by name, of the engines that the platform
// lists as live, or false if the list hasn't changed.
func (s *Steward) liveEngines(ctx context.Context) (map[string]string, bool, error) {
	list, err := s.list.Poll(ctx)
	if err != nil || !list.Changed {
		return nil, false, err
	}
	if list.Skipped > 0 {
		s.options.Logger.WithField("entries", list.Skipped).WithField("last", list.Problem).Warn("invalid entries of the host list skipped")
	}
	addresses := make(map[string]string)
	for _, host := range list.Hosts {
		if host.Kind == hostlist.KindEngine && host.State == hostlist.StateLive {
			addresses[host.Name] = host.Address
		}
	}
	return addresses, true, nil
}
