package routing

import "dragonflyyard/internal/model"

// maxReservedShare bounds the share of servers kept for large requests.
const maxReservedShare = 1.0 / 3

// Reserve keeps a server's freed slots for one large request, so that small
// ones do not starve it. It returns the server that is reserved.
func (t *Table) Reserve(c PickInfo) (model.BackendServerID, bool) {
	var best *server
	for _, s := range t.order {
		if s.reservedFor == c.Request {
			return s.backend.ID, true
		}
		if !s.is(StateAvailable) || s.suspect || s.reservedFor != "" || s.backend.Slots < c.Slots || t.zonesOut[s.backend.Zone] {
			continue
		}
		if best == nil || s.drainsBefore(best) {
			best = s
		}
	}
	if best == nil || float64(t.reserved+1) > max(1, maxReservedShare*float64(len(t.order))) {
		return "", false
	}
	t.reserve(best, c.Request)
	return best.backend.ID, true
}

// DropReservations gives up the reservations for which drop reports true.
func (t *Table) DropReservations(drop func(id model.RequestID) bool) {
	if t.reserved == 0 {
		return
	}
	for _, s := range t.order {
		if s.reservedFor != "" && drop(s.reservedFor) {
			t.reserve(s, "")
		}
	}
}

// Unreserve gives up the reservation of a request.
func (t *Table) Unreserve(id model.RequestID) {
	t.DropReservations(func(reserved model.RequestID) bool { return reserved == id })
}

// reserve sets or, with an empty ID, ends the reservation of a server.
func (t *Table) reserve(s *server, id model.RequestID) {
	if s.reservedFor != "" {
		t.reserved--
	}
	if id != "" {
		t.reserved++
	}
	s.reservedFor = id
}
