package engine

import (
	"io"
	"net/http"
	"slices"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/weights"
)

// Values of engineapi.Order.Action.
const (
	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "role"
)

// modelsLocked returns the loaded models, sorted by name.
func (s *Server) modelsLocked() []string {
	models := make([]string, 0, len(s.models))
	for model := range s.models {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}

// servesLocked reports whether the engine serves a model. An engine configured
// without models serves any model until its first unload order.
func (s *Server) servesLocked(model string) bool {
	if s.servesAll {
		return true
	}
	_, ok := s.models[model]
	return ok
}

func (s *Server) orderStateLocked() engineapi.OrderState {
	return engineapi.OrderState{Fence: s.fence, Models: s.modelsLocked(), Role: s.role}
}

func (s *Server) orderState() engineapi.OrderState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orderStateLocked()
}

func (s *Server) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.orderState())
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if standin.ReadJSON(w, r, &order) != nil {
		return
	}
	if !slices.Contains([]string{actionLoad, actionUnload, actionRole}, order.Action) {
		standin.WriteError(w, http.StatusBadRequest, "unknown action: use load, unload or role")
		return
	}
	if !s.acceptFence(order.Fence) {
		standin.WriteJSON(w, http.StatusConflict, s.orderState())
		return
	}
	if order.Action == actionLoad && !s.fetchWeights(w, r, order.Model) {
		return
	}
	if !s.applyOrder(order) {
		standin.WriteJSON(w, http.StatusConflict, s.orderState())
		return
	}
	standin.WriteJSON(w, http.StatusOK, s.orderState())
}

// acceptFence reports whether an order with the given fence is accepted, and
// records the highest fence.
func (s *Server) acceptFence(fence int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Fencing && fence < s.fence {
		s.state.OrdersRefused++
		return false
	}
	s.fence = max(s.fence, fence)
	return true
}

// applyOrder executes an order. With fencing it refuses one that was superseded
// by an order with a higher fence while the model was loading.
func (s *Server) applyOrder(order engineapi.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Fencing && order.Fence < s.fence {
		s.state.OrdersRefused++
		return false
	}
	s.state.Orders++
	switch order.Action {
	case actionLoad:
		s.models[order.Model] = struct{}{}
	case actionUnload:
		delete(s.models, order.Model)
		s.servesAll = false
	case actionRole:
		s.role = order.Role
	}
	return true
}

// fetchWeights reads the weights of a model from the weight store, if one is
// configured, and then waits for Config.LoadTime. It returns false when the
// download fails, after writing an error response, or when the caller
// disconnects.
func (s *Server) fetchWeights(w http.ResponseWriter, r *http.Request, model string) bool {
	if s.cfg.WeightStore != "" {
		retryAfter, err := s.download(r, model)
		if err != nil {
			w.Header().Set("Retry-After", retryAfter)
			standin.WriteError(w, http.StatusServiceUnavailable, err.Error())
			return false
		}
	}
	return standin.Sleep(r.Context(), s.clock, s.cfg.LoadTime) == nil
}

// download reads the weights and discards them. When the store refuses the
// request, it also returns the Retry-After header of the response.
func (s *Server) download(r *http.Request, model string) (string, error) {
	req, err := sling.New().Base(s.cfg.WeightStore).Get(weights.PathWeights + model).Request()
	if err != nil {
		return "", errors.Wrap(err, "weight store address")
	}
	resp, err := s.client.Do(req.WithContext(r.Context()))
	if err != nil {
		return "", errors.Wrap(err, "weight store unreachable: retry later")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.Header.Get("Retry-After"), errors.Errorf("weight store answered %s: retry later", resp.Status)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return "", errors.Wrap(err, "weights cut off: retry later")
}
