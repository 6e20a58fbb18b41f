package routing

import "dragonflyyard/internal/model"

// maxReservedShare bounds the share of servers reserved for large requests. One
// server may be reserved whatever the share.
const maxReservedShare = 1.0 / 3

// Reserve reserves a server for one large request, so that small requests do not
// starve it by taking each slot that becomes free. It returns the reserved
// server, the same one when the request already has a reservation. It returns false
// if no server is suitable or maxReservedShare is reached.
func (t *Table) Reserve(info PickInfo) (model.BackendServerID, bool) {
	var best *server
	for _, s := range t.sorted {
		if s.reservedFor == info.Request {
			return s.backend.ID, true
		}
		if !s.is(StateAvailable) || s.suspect || s.reservedFor != "" || s.backend.Slots < info.Slots || t.zonesOut[s.backend.Zone] {
			continue
		}
		if best == nil || s.drainsBefore(best) {
			best = s
		}
	}
	if best == nil || float64(t.reservedCount+1) > max(1, maxReservedShare*float64(len(t.sorted))) {
		return "", false
	}
	t.setReservation(best, info.Request)
	return best.backend.ID, true
}

// DropReservations releases the reservations of the requests for which drop
// returns true.
func (t *Table) DropReservations(drop func(id model.RequestID) bool) {
	if t.reservedCount == 0 {
		return
	}
	for _, s := range t.sorted {
		if s.reservedFor != "" && drop(s.reservedFor) {
			t.setReservation(s, "")
		}
	}
}

// Unreserve releases the reservation of a request, if it has one.
func (t *Table) Unreserve(id model.RequestID) {
	t.DropReservations(func(reserved model.RequestID) bool { return reserved == id })
}

// setReservation reserves a server for a request or, with an empty ID, releases
// its reservation.
func (t *Table) setReservation(s *server, id model.RequestID) {
	if s.reservedFor != "" {
		t.reservedCount--
	}
	if id != "" {
		t.reservedCount++
	}
	s.reservedFor = id
}
