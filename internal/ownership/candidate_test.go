package ownership

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"dragonflyyard/internal/coretest"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

// tickEvery is the interval of the tests' ticks.
const tickEvery = 50 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// run ticks all hosts until the time has passed. It fails the test when two of
// them hold the lease at the same time.
func run(t *testing.T, now *time.Time, length time.Duration, hosts ...*host) {
	t.Helper()
	for end := now.Add(length); now.Before(end); *now = now.Add(tickEvery) {
		holders := 0
		for _, h := range hosts {
			h.deliver(*now)
			h.step(*now, Tick{})
			if _, holds := h.candidate.Holds(*now); holds {
				holders++
			}
		}
		if holders > 1 {
			t.Fatalf("at %v: %d holders", now.Sub(start), holders)
		}
	}
}

func newPair(t *testing.T) (*time.Time, *standin.Store, *host, *host) {
	now := start
	store := standin.NewStore(func() time.Time { return now })
	return &now, store, newHost(t, store, "a"), newHost(t, store, "b")
}

func TestOneCandidateAcquiresAndRenews(t *testing.T) {
	now, _, a, b := newPair(t)
	run(t, now, 30*time.Second, a, b)
	epoch, holds := a.candidate.Holds(*now)
	if !holds || epoch != 1 {
		t.Errorf("got epoch %d, holds %v; want epoch 1 held", epoch, holds)
	}
	if lost := a.lost(); lost != nil {
		t.Errorf("lost the lease: %v", lost)
	}
}

// TestTakeOverAfterTheHolderDied kills the holder at each phase of its renewals
// and of the follower's reads.
func TestTakeOverAfterTheHolderDied(t *testing.T) {
	limits := DefaultLimits()
	bound := limits.Duration + limits.Margin + limits.PollEvery + 2*tickEvery
	var shortest, longest, sum time.Duration
	const phases = 60
	for phase := range phases {
		now, _, a, b := newPair(t)
		run(t, now, 5*time.Second+time.Duration(phase)*tickEvery, a, b)
		died := *now
		for {
			run(t, now, tickEvery, b)
			if _, holds := b.candidate.Holds(*now); holds {
				break
			}
			if now.Sub(died) > bound {
				t.Fatalf("phase %d: no take-over within %v", phase, bound)
			}
		}
		took := now.Sub(died)
		sum += took
		longest = max(longest, took)
		if shortest == 0 || took < shortest {
			shortest = took
		}
	}
	t.Logf("take-over after %v to %v, mean %v", shortest, longest, sum/phases)
}

func TestGracefulStopHandsOverAtOnce(t *testing.T) {
	now, _, a, b := newPair(t)
	run(t, now, 5*time.Second, a, b)
	a.step(*now, Stop{})
	if _, holds := a.candidate.Holds(*now); holds || a.candidate.State() != StateStopped {
		t.Fatalf("state %s, holds %v after the stop", a.candidate.State(), holds)
	}
	run(t, now, DefaultLimits().PollEvery+2*tickEvery, a, b)
	if epoch, holds := b.candidate.Holds(*now); !holds || epoch != 2 {
		t.Errorf("got epoch %d, holds %v; want epoch 2 held by the successor", epoch, holds)
	}
}

// TestRemovedMemberTakesNoLease lets a host wake that was removed from the
// roster while it was paused, and that finds the lease row as it last knew it.
func TestRemovedMemberTakesNoLease(t *testing.T) {
	now, store, a, b := newPair(t)
	versions, err := store.Commit(coretest.Cancelled(), storeapi.Transaction{Puts: []storeapi.Put{{Key: "member/b"}}})
	if err != nil {
		t.Fatal(err)
	}
	b.candidate.SetEligibility(true, storeapi.Check{Key: "member/b", Version: versions[0]})
	run(t, now, 2*time.Second, a, b)
	if _, err := store.Commit(coretest.Cancelled(), storeapi.Transaction{Deletes: []string{"member/b"}}); err != nil {
		t.Fatal(err)
	}
	run(t, now, 10*time.Second, b)
	if _, holds := b.candidate.Holds(*now); holds {
		t.Error("a removed member took the lease over")
	}
	b.candidate.SetEligibility(true, storeapi.Check{})
	run(t, now, time.Second, b)
	if _, holds := b.candidate.Holds(*now); !holds {
		t.Error("the lease was not free")
	}
}

func TestFencingCheckChangesOnlyWithTheEpoch(t *testing.T) {
	now, store, a, b := newPair(t)
	run(t, now, 2*time.Second, a, b)
	check := a.candidate.FencingCheck()
	run(t, now, 5*time.Second, a, b)
	write := storeapi.Transaction{Checks: []storeapi.Check{check}, Puts: []storeapi.Put{{Key: "decision"}}}
	if _, err := store.Commit(coretest.Cancelled(), write); err != nil {
		t.Fatalf("the owner's fenced write failed after renewals: %v", err)
	}
	a.paused = true
	run(t, now, 5*time.Second, b)
	if _, err := store.Commit(coretest.Cancelled(), write); storeapi.ResultOf(err) != storeapi.ResultConflict {
		t.Errorf("the deposed owner's write: got %v, want a conflict", err)
	}
}

// TestFaults drives a holder and a follower through each fault.
func TestFaults(t *testing.T) {
	frozen := standin.Faults{Freeze: true}
	cases := []struct {
		name  string
		fault func(store *standin.Store, a, b *host)
		heal  func(store *standin.Store, a, b *host)
		// during and after are the faults' length and the time given to recover.
		during, after time.Duration
		lost          []LossReason
		holder        string
		maxEpoch      uint64
	}{
		{
			name:   "store down for less than the lease",
			fault:  func(s *standin.Store, _, _ *host) { s.SetFaults(standin.ServiceTable, standin.Faults{Down: true}) },
			heal:   func(s *standin.Store, _, _ *host) { s.SetFaults(standin.ServiceTable, standin.Faults{}) },
			during: 1500 * time.Millisecond, after: 3 * time.Second, holder: "a", maxEpoch: 1,
		},
		{
			name:   "store down for longer than the lease",
			fault:  func(s *standin.Store, _, _ *host) { s.SetFaults(standin.ServiceTable, standin.Faults{Down: true}) },
			heal:   func(s *standin.Store, _, _ *host) { s.SetFaults(standin.ServiceTable, standin.Faults{}) },
			during: 20 * time.Second, after: 5 * time.Second, lost: []LossReason{LossExpired}, holder: "any", maxEpoch: 2,
		},
		{
			name:   "answers of writes lost",
			fault:  func(s *standin.Store, _, _ *host) { s.SetFaults(standin.ServiceTable, standin.Faults{LoseAnswers: -1}) },
			heal:   func(s *standin.Store, _, _ *host) { s.SetFaults(standin.ServiceTable, standin.Faults{}) },
			during: 20 * time.Second, after: 5 * time.Second, holder: "a", maxEpoch: 1,
		},
		{
			name:   "store frozen, held writes take effect late",
			fault:  func(s *standin.Store, _, _ *host) { s.SetFaults(standin.ServiceTable, frozen) },
			heal:   func(s *standin.Store, _, _ *host) { s.SetFaults(standin.ServiceTable, standin.Faults{}) },
			during: 20 * time.Second, after: 5 * time.Second, lost: []LossReason{LossExpired}, holder: "any", maxEpoch: 4,
		},
		{
			name:   "holder paused past its lease",
			fault:  func(_ *standin.Store, a, _ *host) { a.paused = true },
			heal:   func(_ *standin.Store, a, _ *host) { a.paused = false },
			during: 10 * time.Second, after: 5 * time.Second, lost: []LossReason{LossExpired}, holder: "b", maxEpoch: 2,
		},
		{
			name:   "follower paused",
			fault:  func(_ *standin.Store, _, b *host) { b.paused = true },
			heal:   func(_ *standin.Store, _, b *host) { b.paused = false },
			during: 10 * time.Second, after: 5 * time.Second, holder: "a", maxEpoch: 1,
		},
		{
			name: "deposed by another writer of the row",
			fault: func(s *standin.Store, _, _ *host) {
				lease := Lease{Owner: "c", Incarnation: 9, Epoch: 7, Write: 1}
				_, _ = s.Commit(coretest.Cancelled(), storeapi.Transaction{Puts: []storeapi.Put{{Key: RowKey("r"), Value: EncodeLease(lease)}}})
			},
			heal:   func(_ *standin.Store, _, _ *host) {},
			during: time.Second, after: 10 * time.Second, lost: []LossReason{LossDeposed}, holder: "any", maxEpoch: 8,
		},
		{
			name: "row overwritten with what is no lease",
			fault: func(s *standin.Store, _, _ *host) {
				_, _ = s.Commit(coretest.Cancelled(), storeapi.Transaction{Puts: []storeapi.Put{{Key: RowKey("r"), Value: []byte("{")}}})
			},
			heal:   func(_ *standin.Store, _, _ *host) {},
			during: time.Second, after: 10 * time.Second, lost: []LossReason{LossDeposed}, holder: "any", maxEpoch: 2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now, store, a, b := newPair(t)
			run(t, now, 5*time.Second, a, b)
			c.fault(store, a, b)
			run(t, now, c.during, a, b)
			c.heal(store, a, b)
			run(t, now, c.after, a, b)
			if got := a.lost(); !reflect.DeepEqual(got, c.lost) {
				t.Errorf("holder lost its lease for %v, want %v", got, c.lost)
			}
			epochA, holdsA := a.candidate.Holds(*now)
			epochB, holdsB := b.candidate.Holds(*now)
			if !holdsA && !holdsB || (c.holder == "a" && !holdsA) || (c.holder == "b" && !holdsB) {
				t.Errorf("holders a %v, b %v; want %s", holdsA, holdsB, c.holder)
			}
			if uint64(max(epochA, epochB)) > c.maxEpoch {
				t.Errorf("epochs %d and %d, want at most %d", epochA, epochB, c.maxEpoch)
			}
		})
	}
}

// TestRandomSequences lets three candidates with late and lost results compete
// while they are paused and the store fails. At no time do two hold the lease,
// a fenced write of a former owner fails, and epochs only grow.
func TestRandomSequences(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRandomSequence(t, rand.New(rand.NewPCG(seed, 2))) })
	}
}

func runRandomSequence(t *testing.T, random *rand.Rand) {
	now := start
	store := standin.NewStore(func() time.Time { return now })
	hosts := []*host{newHost(t, store, "a"), newHost(t, store, "b"), newHost(t, store, "c")}
	for _, h := range hosts {
		h.lateBy = func() time.Duration {
			switch random.IntN(60) {
			case 0:
				return -1
			case 1, 2:
				return time.Duration(random.IntN(4000)) * time.Millisecond
			default:
				return time.Duration(random.IntN(150)) * time.Millisecond
			}
		}
	}
	faults := []standin.Faults{{}, {}, {}, {Down: true}, {LoseAnswers: -1}, {Freeze: true}, {Silent: true}}
	held := time.Duration(0)
	for range 80 {
		store.SetFaults(standin.ServiceTable, faults[random.IntN(len(faults))])
		hosts[random.IntN(len(hosts))].paused = random.IntN(3) == 0
		length := time.Duration(random.IntN(4000)) * time.Millisecond
		run(t, &now, length, hosts...)
		held += checkFence(t, now, store, hosts, length)
	}
	if held == 0 {
		t.Error("nobody ever held the lease")
	}
	checkEpochs(t, hosts)
}

// checkFence fails the test when a write of a former owner passes the fence
// after a later epoch was acquired.
func checkFence(t *testing.T, now time.Time, store *standin.Store, hosts []*host, length time.Duration) time.Duration {
	t.Helper()
	store.SetFaults(standin.ServiceTable, standin.Faults{})
	var latest *host
	for _, h := range hosts {
		if h.candidate.epochVersion != 0 && (latest == nil || h.candidate.epoch > latest.candidate.epoch) {
			latest = h
		}
	}
	held := time.Duration(0)
	for _, h := range hosts {
		if _, holds := h.candidate.Holds(now); holds {
			held = length
		}
		if h.candidate.epochVersion == 0 || h == latest {
			continue
		}
		write := storeapi.Transaction{Checks: []storeapi.Check{h.candidate.FencingCheck()}, Puts: []storeapi.Put{{Key: "decision"}}}
		if _, err := store.Commit(coretest.Cancelled(), write); storeapi.ResultOf(err) != storeapi.ResultConflict {
			t.Fatalf("a write under epoch %d passed although epoch %d began", h.candidate.epoch, latest.candidate.epoch)
		}
	}
	return held
}

// checkEpochs fails the test when two hosts acquired the same epoch, or a host
// acquired a lower one than before.
func checkEpochs(t *testing.T, hosts []*host) {
	t.Helper()
	owners := map[uint64]int{}
	for i, h := range hosts {
		last := uint64(0)
		for _, action := range h.log {
			acquired, ok := action.(Acquired)
			if !ok {
				continue
			}
			epoch := uint64(acquired.Epoch)
			if owner, taken := owners[epoch]; epoch <= last || taken && owner != i {
				t.Errorf("host %d acquired epoch %d after %d, taken before: %v", i, epoch, last, taken)
			}
			last, owners[epoch] = epoch, i
		}
	}
}

func TestCandidateRecoversFromLostResults(t *testing.T) {
	now, _, a, b := newPair(t)
	run(t, now, 5*time.Second, a, b)
	for _, h := range []*host{a, b} {
		h.lateBy = func() time.Duration { return -1 }
	}
	run(t, now, 5*time.Second, a, b)
	a.lateBy, b.lateBy = nil, nil
	run(t, now, callLimit+5*time.Second, a, b)
	_, holdsA := a.candidate.Holds(*now)
	_, holdsB := b.candidate.Holds(*now)
	if !holdsA && !holdsB {
		t.Error("nobody holds the lease after results were lost")
	}
}

func FuzzDecodeLease(f *testing.F) {
	f.Add(EncodeLease(Lease{Owner: "a", Epoch: 1}))
	f.Add([]byte(`{"owner":"a"}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, value []byte) {
		lease, err := DecodeLease(storeapi.Row{Key: "k", Value: value, Version: 1})
		if err == nil && (lease.Owner == "" || lease.Epoch == 0) {
			t.Errorf("accepted %+v", lease)
		}
	})
}

// TestDeferredTakeOver: a candidate that defers takes a lease that was released,
// or not renewed, only that much later; one that nobody held it takes at once.
func TestDeferredTakeOver(t *testing.T) {
	const deferral = 700 * time.Millisecond
	limits := DefaultLimits()
	for _, row := range []struct {
		name  string
		lease *Lease
		wait  time.Duration
	}{
		{"never held", nil, 0},
		{"released", &Lease{Owner: "other", Epoch: 3, Released: true}, deferral},
		{"left", &Lease{Owner: "other", Epoch: 3}, limits.Duration + limits.Margin + deferral},
	} {
		began := time.Unix(1000, 0)
		c := NewCandidate(limits, "region", "weak", 1)
		c.Defer(deferral)
		stored := storeapi.Row{Key: c.Key()}
		if row.lease != nil {
			stored.Value, stored.Version = EncodeLease(*row.lease), 7
		}
		tookAt := time.Duration(-1)
		for at := time.Duration(0); at < 10*time.Second && tookAt < 0; at += 10 * time.Millisecond {
			actions := c.Step(began.Add(at), Tick{})
			for len(actions) > 0 && tookAt < 0 {
				action := actions[0]
				actions = actions[1:]
				switch action := action.(type) {
				case ReadRow:
					actions = append(actions, c.Step(began.Add(at), RowRead{Call: action.Call, Result: storeapi.ResultOK, Row: stored})...)
				case CommitRow:
					tookAt = at
				}
			}
		}
		if tookAt < row.wait || tookAt > row.wait+2*limits.PollEvery {
			t.Errorf("%s: taken after %v, want %v", row.name, tookAt, row.wait)
		}
	}
}
