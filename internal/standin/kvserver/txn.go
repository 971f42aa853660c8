package kvserver

import "bytes"

// txn evaluates the conditions of a transaction and applies the selected branch,
// all at one revision. If any put of the branch is invalid, nothing is applied.
func (s *store) txn(req txnRequest) (*txnResponse, error) {
	succeeded, err := s.conditionsHold(req.Compare)
	if err != nil {
		return nil, err
	}
	ops := req.Failure
	if succeeded {
		ops = req.Success
	}
	if err := s.validateOps(ops); err != nil {
		return nil, err
	}
	revision := s.revision + 1
	responses := make([]responseOp, 0, len(ops))
	for _, op := range ops {
		responses = append(responses, s.applyOp(op, revision))
	}
	return &txnResponse{Header: s.header(), Succeeded: succeeded, Responses: responses}, nil
}

// writes reports whether either branch of a transaction contains a write.
func (req txnRequest) writes() bool {
	for _, ops := range [][]requestOp{req.Success, req.Failure} {
		for _, op := range ops {
			if op.Put != nil || op.Delete != nil {
				return true
			}
		}
	}
	return false
}

// writtenKeys returns the keys of all writes in both branches of a transaction.
func (req txnRequest) writtenKeys() [][]byte {
	var keys [][]byte
	for _, ops := range [][]requestOp{req.Success, req.Failure} {
		for _, op := range ops {
			if op.Put != nil {
				keys = append(keys, op.Put.Key)
			}
			if op.Delete != nil {
				keys = append(keys, op.Delete.Key)
			}
		}
	}
	return keys
}

func (s *store) validateOps(ops []requestOp) error {
	seen := make(map[string]bool)
	for _, op := range ops {
		if op.Put == nil {
			continue
		}
		if err := s.validatePut(*op.Put); err != nil {
			return err
		}
		if seen[string(op.Put.Key)] {
			return ErrDuplicateKey
		}
		seen[string(op.Put.Key)] = true
	}
	return nil
}

func (s *store) applyOp(op requestOp, revision int64) responseOp {
	switch {
	case op.Put != nil:
		old := s.applyPut(*op.Put, revision)
		resp := &putResponse{Header: s.header()}
		if op.Put.PrevKv {
			resp.PrevKv = old
		}
		return responseOp{Put: resp}
	case op.Delete != nil:
		removed := s.applyDelete(*op.Delete, revision)
		resp := &deleteResponse{Header: s.header(), Deleted: Int64(len(removed))}
		if op.Delete.PrevKv {
			resp.PrevKvs = removed
		}
		return responseOp{Delete: resp}
	case op.Range != nil:
		return responseOp{Range: s.rangeKeys(*op.Range)}
	default:
		return responseOp{}
	}
}

// conditionsHold reports whether all conditions are met. An invalid condition is an
// error even if another one is not met.
func (s *store) conditionsHold(conditions []compare) (bool, error) {
	all := true
	for _, c := range conditions {
		order, err := s.order(c)
		if err != nil {
			return false, err
		}
		held, err := resultHolds(c.Result, order)
		if err != nil {
			return false, err
		}
		all = all && held
	}
	return all, nil
}

// order compares the stored field of a condition with its operand. The result is
// negative if the stored field is lower, zero if they are equal and positive if it
// is higher. A VALUE condition on a missing key orders below every operand.
func (s *store) order(c compare) (int, error) {
	kv := s.keys[string(c.Key)]
	switch c.Target {
	case "", "VERSION":
		return compareInt(kv.Version, c.Version), nil
	case "CREATE":
		return compareInt(kv.CreateRevision, c.CreateRevision), nil
	case "MOD":
		return compareInt(kv.ModRevision, c.ModRevision), nil
	case "LEASE":
		return compareInt(kv.Lease, c.Lease), nil
	case "VALUE":
		if kv.Version == 0 {
			return -1, nil
		}
		return bytes.Compare(kv.Value, c.Value), nil
	default:
		return 0, ErrInvalidCompare
	}
}

func resultHolds(result string, order int) (bool, error) {
	switch result {
	case "", "EQUAL":
		return order == 0, nil
	case "NOT_EQUAL":
		return order != 0, nil
	case "GREATER":
		return order > 0, nil
	case "LESS":
		return order < 0, nil
	default:
		return false, ErrInvalidCompare
	}
}

func compareInt(a, b Int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
