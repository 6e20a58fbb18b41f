package agent

import (
	"testing"

	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/permit"
)

// TestAgentsWaitForTheLongestPermitThatIsIssued ties the wait of a home that
// takes a range over to the limit that permit issuers and settings keep.
func TestAgentsWaitForTheLongestPermitThatIsIssued(t *testing.T) {
	issued := permit.DefaultLimits().Validity
	if got := newTestAgent(t, "127.0.0.1:1").executorConfig().LongestPermit; got != issued {
		t.Errorf("agents wait for %v, permits last up to %v", got, issued)
	}
	if got := executor.DefaultConfig().LongestPermit; got != issued {
		t.Errorf("the default is %v, permits last up to %v", got, issued)
	}
}
