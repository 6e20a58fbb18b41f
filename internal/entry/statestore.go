package entry

import "time"

// storeSilence is how long ago the last confirmed renewal of the region lease
// may have been sent while the table service counts as reachable. A renewal is
// due every 0.75 s and a call takes at most 0.5 s.
const storeSilence = 2 * time.Second

// writesReachStore reports whether the owner's writes reached the table service
// lately.
func (s *State) writesReachStore(now time.Time) bool {
	view := s.lastOwner()
	renewedAt := view.ValidUntil.Add(-s.p.Config.Settings.Timeouts.Lease)
	return view.Mine && !view.Outage && now.Sub(renewedAt) < storeSilence
}
