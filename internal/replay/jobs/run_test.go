package jobs

import "testing"

func TestReplayGivesTheSameFiguresAgain(t *testing.T) {
	c := Case{Deployment: Deployments()[1], Seed: 4}
	first, second := Run(c), Run(c)
	if first != second {
		t.Errorf("got %+v, then %+v", first, second)
	}
}

func TestReplayKeepsInvariantsAndBounds(t *testing.T) {
	f := Run(Case{Deployment: Deployments()[0], Seed: 1})
	if f.Broken != 0 || f.Left != 0 || f.Refused != 3 {
		t.Errorf("%d invariants broken, %d jobs left, %d refused; want 0, 0 and 3", f.Broken, f.Left, f.Refused)
	}
	if f.Claims == 0 || f.ClaimOwnMax > targetClaim {
		t.Errorf("%d claims, the longest took %g s without checkpoints, want at most %g", f.Claims, f.ClaimOwnMax, targetClaim)
	}
}
