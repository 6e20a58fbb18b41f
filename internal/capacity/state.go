package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/dedup"
	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/membership"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// ConfigCost is the cost of the configuration for a number of teams.
type ConfigCost struct {
	Teams int
	// StateBytes is the heap that one process holds, SnapshotBytes the size of
	// the stored document, UpdateBytes the frame of one change.
	StateBytes    float64
	SnapshotBytes float64
	UpdateBytes   float64
	// ApplyNS is the time to put one change into force.
	ApplyNS float64
}

// guaranteesPerTeam is how many guaranteed shapes a team holds.
const guaranteesPerTeam = 3

// MeasureConfig measures the configuration of a number of teams.
func MeasureConfig(teams int) (ConfigCost, error) {
	before := heapBytes()
	document := teamDocument(teams)
	cost := ConfigCost{Teams: teams, StateBytes: heapBytes() - before}
	snapshot, err := json.Marshal(document)
	if err != nil {
		return cost, errors.Wrap(err, "encode configuration")
	}
	cost.SnapshotBytes = float64(len(snapshot))
	change := model.ConfigChange{
		ID: "0192f0c1-5a2b-7c3d-8e4f-0123456789ab", Object: "zone/region-07-zone-3", Zone: model.ZoneOut,
		Operator: "operator-17",
	}
	frame, err := wire.Encode(&wire.ConfigUpdate{From: 1, To: 2, Changes: []model.ConfigChange{change}})
	if err != nil {
		return cost, errors.Wrap(err, "encode change")
	}
	cost.UpdateBytes = float64(len(frame))
	const changes = 300
	cost.ApplyNS = perOp(changes, func(int) {
		change.Version = document.Version + 1
		document = configstore.ApplyUpdate(document, wire.ConfigUpdate{
			From: document.Version, To: change.Version, Changes: []model.ConfigChange{change},
		})
	})
	return cost, nil
}

func teamDocument(teams int) *model.ConfigDocument {
	d := configstore.NewDocument()
	d.Version = 1
	for i := range teams {
		id := model.ClientAccountID(fmt.Sprintf("team-%04d", i))
		d.Accounts[id] = model.ClientAccount{ID: id, Weight: 1, MaxQueued: 200}
		d.ObjectVersions["account/"+string(id)] = 1
		for g := range guaranteesPerTeam {
			name := fmt.Sprintf("%s.shape-%d", id, g)
			d.Guarantees[name] = model.GuaranteedShape{Name: name, Account: id, Shape: regionShape(), Count: 1}
			d.ObjectVersions["guarantee/"+name] = 1
		}
	}
	for z := range Zones {
		d.Zones[model.AvailabilityZoneName(fmt.Sprintf("region-%02d-zone-%d", z/4, z%4))] = model.ZoneIn
	}
	return d
}

// HomeCost is the cost of the home assignment for a number of agents.
type HomeCost struct {
	Agents int
	// FrameBytes is the size of the whole assignment on the wire, DeltaBytes
	// that of the ranges which one replaced agent moves, RowBytes that of the
	// row in the table service.
	FrameBytes float64
	DeltaBytes float64
	RowBytes   float64
	// PlanNS is the time to plan anew after one agent was replaced.
	PlanNS float64
	// MovedRanges is how many ranges that plan moves, of Ranges.
	MovedRanges int
	Ranges      int
}

// MeasureHomes measures the home assignment of a number of agents.
func MeasureHomes(agents int) (HomeCost, error) {
	live := make([]membership.HomeAgent, agents)
	for i := range live {
		live[i] = membership.HomeAgent{ID: model.BackendServerID(fmt.Sprintf("backend-%05d", i)), Incarnation: 1}
	}
	const settle = 2 * time.Second
	present, _ := membership.PlanHomes(wire.Assignment{}, live, 0, settle)
	frame, err := wire.Encode(&wire.ConfigUpdate{Assignment: &present})
	if err != nil {
		return HomeCost{}, errors.Wrap(err, "encode assignment")
	}
	live[agents/2].Incarnation = 2
	began := time.Now()
	next, _ := membership.PlanHomes(present, live, 1, settle)
	cost := HomeCost{
		Agents: agents, FrameBytes: float64(len(frame)), Ranges: len(next.Ranges),
		PlanNS: float64(time.Since(began).Nanoseconds()),
	}
	if cost.DeltaBytes, err = deltaBytes(present, next); err != nil {
		return cost, err
	}
	row, err := json.Marshal(next)
	if err != nil {
		return cost, errors.Wrap(err, "encode assignment row")
	}
	cost.RowBytes = float64(len(row))
	for i, r := range next.Ranges {
		if i >= len(present.Ranges) || r != present.Ranges[i] {
			cost.MovedRanges++
		}
	}
	return cost, nil
}

// deltaBytes returns the size of the update that an entry host sends to a
// process which holds the version before.
func deltaBytes(present, next wire.Assignment) (float64, error) {
	var history dedup.History
	history.Add(present)
	history.Add(next)
	update := wire.ConfigUpdate{From: 1 << 24, To: 1 << 24}
	history.Fill(&update, present.Version)
	frame, err := wire.Encode(&update)
	return float64(len(frame)), errors.Wrap(err, "encode assignment delta")
}

// ClaimCost is the cost of the claims that a home agent keeps.
type ClaimCost struct {
	Claims int
	// StateBytes is the heap that the agent's core holds, ClaimNS the time of
	// one claim.
	StateBytes float64
	ClaimNS    float64
}

// MeasureClaims measures a home agent with a number of kept claims.
func MeasureClaims(claims int) ClaimCost {
	const home, entry = model.BackendServerID("backend-00000"), model.EntryID("entry-1")
	now := time.Unix(1_800_000_000, 0)
	before := heapBytes()
	core := executor.New(executor.Config{
		ID: home, Incarnation: 1, Started: now.Add(-time.Hour), Slots: 8, Connections: 64, MaxRecords: 4 * claims,
	})
	assignment := wire.Assignment{Version: 1, Ranges: []wire.HomeRange{{Home: home, Incarnation: 1}}}
	const settled = 10 * time.Minute
	core.Step(now.Add(-settled), executor.AssignmentUpdate{Assignment: assignment})
	core.Step(now, executor.PermitGranted{Assignment: 1, ValidUntil: now.Add(time.Hour)})
	core.Step(now, executor.LinkUp{Entry: entry, Incarnation: 1, Connection: 1})
	cost := ClaimCost{Claims: claims}
	granted := 0
	cost.ClaimNS = perOp(claims, func(i int) {
		actions := core.Step(now, executor.Receive{From: entry, Connection: 1, Message: &wire.Claim{
			Request: mintedAt(now, i), BodyHash: uint64(i), Executor: "backend-00001", Assignment: 1,
		}})
		for _, action := range actions {
			if send, ok := action.(executor.Send); ok {
				if reply, ok := send.Message.(*wire.ClaimReply); ok && reply.Granted {
					granted++
				}
			}
		}
	})
	cost.StateBytes = heapBytes() - before
	cost.Claims = granted
	core.Step(now, executor.Tick{})
	return cost
}

// mintedAt returns a UUIDv7 of an instant with a number in its random bits.
func mintedAt(now time.Time, number int) model.RequestID {
	ms := now.UnixMilli()
	return model.RequestID(fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, number))
}
