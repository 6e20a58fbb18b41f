package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/membership"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ownership"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

// ownerCheck is the precondition of the owner's writes.
type ownerCheck struct {
	epoch model.Epoch
	check storeapi.Check
}

// stepConfig steps the configuration core and carries its actions out.
func (s *State) stepConfig(now time.Time, in configstore.Input) {
	published := false
	for _, action := range s.config.Step(now, in) {
		switch action := action.(type) {
		case configstore.Publish:
			s.publish(action)
			published = true
		case configstore.PublishAssignment:
			s.publishAssignment(action.Assignment)
			published = true
		case configstore.Answer:
			s.answerChange(action)
		case configstore.Resolved:
			s.p.Log.Record(event.Event{
				Code: event.ConfigResolved, Subject: string(action.Change), Detail: string(action.Verdict),
			})
		default:
			s.callForConfig(action)
		}
	}
	s.ready.Store(s.config.View().Ready)
	if published {
		s.reissue(now)
	}
}

func (s *State) publish(action configstore.Publish) {
	document := s.config.Document()
	s.document.Store(document)
	s.pending.document = document
	s.pending.flush(s.p.Requests)
	s.p.Scheduler.configure(document)
	s.broadcastConfig(&wire.ConfigUpdate{From: action.From, To: action.To, Changes: action.Changes})
	s.p.Log.Record(event.Event{Code: event.ConfigApplied, Subject: action.To.String()})
	for _, change := range action.Changes {
		if change.Zone == "" {
			continue
		}
		zone := model.AvailabilityZoneName(change.Object[len(configstore.ObjectZone):])
		s.p.Log.Record(event.Event{Code: event.ZoneChanged, Zone: zone, Detail: string(change.Zone)})
	}
}

func (s *State) publishAssignment(assignment wire.Assignment) {
	s.pending.assignment = &assignment
	s.pending.flush(s.p.Requests)
	s.homes.Add(assignment)
	s.broadcastAssignment()
	s.p.Log.Record(event.Event{Code: event.AssignmentApplied, Subject: strconv.FormatUint(uint64(assignment.Version), 10)})
}

// callForConfig makes a platform call that the configuration core asks for.
func (s *State) callForConfig(action configstore.Action) {
	switch action := action.(type) {
	case configstore.ListRows:
		callPlatform(s, func(ctx context.Context) ([]storeapi.Row, error) {
			return s.calls.table.List(ctx, action.Prefix, action.After, action.Limit)
		}, func(rows []storeapi.Row, err error) stateInput {
			return stateInput{config: configstore.RowsListed{Call: action.Call, Result: storeapi.ResultOf(err), Rows: rows}}
		})
	case configstore.ReadRow:
		callPlatform(s, func(ctx context.Context) (storeapi.Row, error) {
			return s.calls.table.Get(ctx, action.Key)
		}, func(row storeapi.Row, err error) stateInput {
			return stateInput{config: configstore.RowRead{Call: action.Call, Result: storeapi.ResultOf(err), Row: row}}
		})
	case configstore.Commit:
		callPlatform(s, s.commit(action.Transaction), func(versions []storeapi.RowVersion, err error) stateInput {
			return stateInput{config: configstore.Committed{Call: action.Call, Result: storeapi.ResultOf(err), Versions: versions}}
		})
	case configstore.ReadObject:
		callPlatform(s, func(ctx context.Context) ([]byte, error) {
			return s.calls.objects.GetObject(ctx, action.Key)
		}, func(value []byte, err error) stateInput {
			return stateInput{config: configstore.ObjectRead{Call: action.Call, Result: storeapi.ResultOf(err), Value: value}}
		})
	case configstore.WriteObject:
		callPlatform(s, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, s.calls.objects.PutObject(ctx, action.Key, action.Value)
		}, func(_ struct{}, err error) stateInput {
			return stateInput{config: configstore.ObjectWritten{Call: action.Call, Result: storeapi.ResultOf(err)}}
		})
	}
}

// commit returns the call that commits a transaction.
func (s *State) commit(tx storeapi.Transaction) func(context.Context) ([]storeapi.RowVersion, error) {
	return func(ctx context.Context) ([]storeapi.RowVersion, error) { return s.calls.table.Commit(ctx, tx) }
}

// callPlatform makes a platform call and feeds its result back through the ring
// of the duty. A call that could not be queued has the result ErrUnavailable,
// which goes through the ring as well: a core is never stepped from within its
// own step.
func callPlatform[T any](s *State, do func(context.Context) (T, error), result func(T, error) stateInput) {
	s.calls.start(
		func(ctx context.Context) {
			value, err := do(ctx)
			s.inputs.Push(ctx, result(value, err))
		},
		func(err error) {
			var none T
			if !s.inputs.TryPush(result(none, err)) {
				s.p.Log.Record(event.Event{Code: event.StateOverloaded})
			}
		},
	)
}

// stepOwner steps the candidate for the region lease.
func (s *State) stepOwner(now time.Time, in ownership.Input) {
	for _, action := range s.owner.Step(now, in) {
		switch action := action.(type) {
		case ownership.ReadRow:
			callPlatform(s, s.readLease(action.Key), func(row storeapi.Row, err error) stateInput {
				return stateInput{owner: ownership.RowRead{Call: action.Call, Result: storeapi.ResultOf(err), Row: row}}
			})
		case ownership.CommitRow:
			callPlatform(s, s.commit(action.Transaction), func(versions []storeapi.RowVersion, err error) stateInput {
				return stateInput{owner: ownership.RowCommitted{Call: action.Call, Result: storeapi.ResultOf(err), Versions: versions}}
			})
		case ownership.HandedOver:
			close(s.handedOff)
		default:
			s.takeOwnership(now, action)
		}
	}
}

// readLease returns the call that reads the lease row. A row that does not
// exist has version zero.
func (s *State) readLease(key string) func(context.Context) (storeapi.Row, error) {
	return func(ctx context.Context) (storeapi.Row, error) {
		row, err := s.calls.table.Get(ctx, key)
		if errors.Is(err, storeapi.ErrNotFound) {
			return storeapi.Row{Key: key}, nil
		}
		return row, err
	}
}

// takeOwnership takes in a change of the region lease.
func (s *State) takeOwnership(now time.Time, action ownership.Action) {
	self := s.p.Config.Settings.ID
	switch action := action.(type) {
	case ownership.Acquired:
		s.ownEpoch = action.Epoch
		s.ownerNow.Store(&ownerView{Owner: self, Epoch: action.Epoch, Mine: true, ValidUntil: action.ValidUntil})
		s.check.Store(&ownerCheck{epoch: action.Epoch, check: s.owner.FencingCheck()})
		s.ownerAt = now
		s.p.Log.Record(event.Event{Code: event.OwnerElected, Subject: string(self), Detail: strconv.FormatUint(uint64(action.Epoch), 10)})
		s.broadcastOwner()
	case ownership.Renewed:
		s.ownerNow.Store(&ownerView{Owner: self, Epoch: action.Epoch, Mine: true, ValidUntil: action.ValidUntil})
	case ownership.Lost:
		s.p.Log.Record(event.Event{Code: event.OwnerLost, Subject: string(self), Detail: string(action.Reason)})
		if action.Reason != ownership.LossExpired {
			s.ownEpoch = 0
			s.ownerNow.Store(&ownerView{Epoch: action.Epoch})
		}
	case ownership.Observed:
		s.noteOwner(action.Lease.Owner, action.Lease.Epoch)
	}
}

// noteOwner takes in that an entry host owns the region under an epoch. A later
// epoch than this host's own ends its ownership.
func (s *State) noteOwner(owner model.EntryID, epoch model.Epoch) {
	view := s.lastOwner()
	if epoch < view.Epoch || epoch == view.Epoch && (view.Mine || owner == "") {
		return
	}
	s.ownEpoch = 0
	s.ownerNow.Store(&ownerView{Owner: owner, Epoch: epoch})
}

// outageHold is how long an owner may act after the roster stated that it
// knows no later one. With the lease of a task (2 s) it ends before a successor
// that began right after the statement ends its wait for the agents' reports
// (3 s) and decides anything.
const outageHold = time.Second

// extendBefore is how long before the end of its lease an owner asks for the
// roster's agreement.
const extendBefore = 500 * time.Millisecond

// extendOwnership lets the last owner go on while the table service is out of
// reach and no later owner began, so that running work goes on. Its writes
// still fail, and are fenced once the service is back.
func (s *State) extendOwnership(now time.Time) {
	view := s.lastOwner()
	if s.ownEpoch == 0 || view.Epoch != s.ownEpoch || now.Before(view.ValidUntil.Add(-extendBefore)) {
		return
	}
	since, agreed := s.issuer.OwnerAgreement(now, s.ownEpoch)
	until := since.Add(outageHold)
	if !agreed || !until.After(view.ValidUntil) {
		return
	}
	s.ownerNow.Store(&ownerView{
		Owner: s.p.Config.Settings.ID, Epoch: s.ownEpoch, Mine: true, ValidUntil: until, Outage: true,
	})
}

// stepRoster steps this host's part in the roster of entry hosts.
func (s *State) stepRoster(now time.Time, in membership.RosterInput) {
	for _, action := range s.roster.Step(now, in) {
		switch action := action.(type) {
		case membership.ListRoster:
			callPlatform(s, func(ctx context.Context) ([]storeapi.Row, error) {
				return s.calls.list(ctx, membership.RosterPrefix)
			}, func(rows []storeapi.Row, err error) stateInput {
				return stateInput{roster: membership.RosterListed{Call: action.Call, Result: storeapi.ResultOf(err), Rows: rows}}
			})
		case membership.CommitRoster:
			callPlatform(s, s.commit(action.Transaction), func(versions []storeapi.RowVersion, err error) stateInput {
				return stateInput{roster: membership.RosterCommitted{Call: action.Call, Result: storeapi.ResultOf(err), Versions: versions}}
			})
		case membership.RosterChanged:
			s.takeRoster(now, action.View)
		}
	}
}

func (s *State) takeRoster(now time.Time, view membership.RosterView) {
	s.setRoster(view)
	s.onRoster(len(view.Others)+1, view.Established)
	s.owner.SetEligibility(view.Established, view.Check)
	s.stepConfig(now, configstore.WriteAccess{Allowed: view.Established, Member: view.Check})
	if view.Left && !s.leftRoster {
		s.leftRoster = true
		close(s.rosterOff)
	}
}

// homeSettle is how long a new owner waits for agents to connect before it
// plans the home assignment.
const homeSettle = time.Second

// homeDelivery is how long it may take until a planned assignment is written and
// received by the agents. Requests minted while it takes longer have no home.
const homeDelivery = time.Second

// planFreshness is how old the last read of the table service may be when a
// plan is written. A write that ends in doubt stops all permits until it is
// resolved, so none is begun while the service seems out of reach.
const planFreshness = time.Second

// planHomes proposes a new home assignment when agents came or went.
func (s *State) planHomes(now time.Time) {
	if _, mine := s.holdsLease(now); !mine || s.lastOwner().Outage || now.Sub(s.ownerAt) < homeSettle {
		return
	}
	view := s.config.View()
	if !view.Ready || view.AssignmentInDoubt || now.Sub(view.CurrentSince) > planFreshness {
		return
	}
	settle := s.limits.Validity + homeDelivery
	plan, changed := membership.PlanHomes(s.config.Assignment(), s.agents.homes(), now.UnixMilli(), settle)
	if !changed || now.Before(s.nextPlan) {
		return
	}
	s.nextPlan = now.Add(homeSettle)
	s.stepConfig(now, configstore.ProposeAssignment{Assignment: plan, Fence: s.owner.FencingCheck()})
}
