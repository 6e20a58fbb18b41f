package link

import (
	"testing"
	"time"
)

// TestOverdueHeartbeatsAreToldBeforeTheLoss silences a connection that stays
// open for far longer than a heartbeat.
func TestOverdueHeartbeatsAreToldBeforeTheLoss(t *testing.T) {
	options := testOptions()
	options.Silence = 10 * limit
	p := newPair(t, options, 4096)
	conn := p.server.nextUp(t)
	p.box.Silence(true, true)
	for range 2 {
		select {
		case c := <-p.server.overdue:
			if c != conn || c.Cause() != nil {
				t.Errorf("connection %d, cause %v", c.ID(), c.Cause())
			}
		case <-time.After(limit):
			t.Fatal("nothing was told")
		}
	}
}
