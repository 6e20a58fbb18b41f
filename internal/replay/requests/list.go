// Package requests replays fixed, seeded arrival lists of requests against the
// real request path packages under a simulated clock, and measures goodput,
// latency, refusals and unknown outcomes by client account, for the policy and
// for two baselines.
package requests

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"dragonflyyard/internal/model"
)

// Sizes of the replayed deployment. Slots and connections are of each backend
// server, but for totalSlots.
const (
	entryCount  = 2
	serverCount = 11
	zoneCount   = 3
	serverSlots = 8
	serverConns = 64
	totalSlots  = serverCount * serverSlots
)

// Times of a run.
const (
	// warmUp passes before the first request, so that home ranges are in force.
	warmUp = 4 * time.Second
	// listLength is how long requests arrive.
	listLength = 4 * time.Second
	// measureFrom leaves the first arrivals out, while estimates are learned.
	measureFrom = time.Second
)

// profile is one client account's kind of requests.
type profile struct {
	account    model.ClientAccountID
	share      float64
	weight     int
	service    time.Duration
	largeShare float64
	deadline   time.Duration
}

// Large requests occupy largeSlots slots for largeFactor times the service time.
const (
	largeSlots  = 4
	largeFactor = 4
	// idempotentShare is the share of requests that are marked as idempotent.
	idempotentShare = 0.7
	// serviceSigma is the spread of the logarithm of service times.
	serviceSigma = 0.4
)

// profiles are four client accounts, two of which send large requests.
func profiles() []profile {
	return []profile{
		{"sertao", 0.4, 4, 40 * time.Millisecond, 0.04, 800 * time.Millisecond},
		{"caatinga", 0.3, 3, 50 * time.Millisecond, 0, 800 * time.Millisecond},
		{"agreste", 0.2, 2, 30 * time.Millisecond, 0, 800 * time.Millisecond},
		{"zona-da-mata", 0.1, 1, 60 * time.Millisecond, 0.06, 800 * time.Millisecond},
	}
}

// slotSeconds returns the mean slot time of one request of the profile.
func (p profile) slotSeconds() float64 {
	mean := p.service.Seconds() * math.Exp(serviceSigma*serviceSigma/2)
	return mean * (1 - p.largeShare + p.largeShare*largeSlots*largeFactor)
}

// capacity returns the requests a second that keep all slots busy.
func capacity() float64 {
	mean := 0.0
	for _, p := range profiles() {
		mean += p.share * p.slotSeconds()
	}
	return totalSlots / mean
}

// arrival is one request of a list.
type arrival struct {
	at      time.Duration
	entry   int
	service time.Duration
	request model.Request
}

// burst is a group of large requests that arrive at the same time.
type burst struct {
	at    time.Duration
	count int
}

// scenario is one load with its faults.
type scenario struct {
	name string
	// load is the offered load as a multiple of capacity.
	load float64
	// only, if set, keeps the requests of the accounts for which it is true.
	only func(model.ClientAccountID) bool
	// flood is the extra load, as a multiple of capacity, of the first account.
	flood float64
	// slow makes one backend server slow from faultAt on, and failed makes it
	// fail each request; lost takes several down at faultAt.
	slow   bool
	failed bool
	lost   bool
	// burst, if set, is added to the list.
	burst *burst
}

// list draws the arrivals of a scenario. Each account has a random stream of
// its own, so that leaving one out does not change the others.
func list(s scenario, seed uint64) []arrival {
	var all []arrival
	for i, p := range profiles() {
		if s.only != nil && !s.only(p.account) {
			continue
		}
		rate := s.load * capacity() * p.share
		if i == 0 && s.flood > 0 {
			rate = s.flood * totalSlots / p.slotSeconds()
		}
		all = append(all, stream(p, rate, rand.New(rand.NewPCG(seed, uint64(i))))...)
	}
	if s.burst != nil {
		all = append(all, s.burst.arrivals(rand.New(rand.NewPCG(seed, 99)))...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	for i := range all {
		all[i].request.ID = requestID(warmUp+all[i].at, i)
		all[i].request.BodyHash = uint64(i + 1)
	}
	return all
}

func stream(p profile, rate float64, r *rand.Rand) []arrival {
	var arrivals []arrival
	at := 0.0
	for {
		at += r.ExpFloat64() / rate
		if at >= listLength.Seconds() {
			return arrivals
		}
		arrivals = append(arrivals, draw(p, time.Duration(at*float64(time.Second)), r.Float64() < p.largeShare, r))
	}
}

func draw(p profile, at time.Duration, large bool, r *rand.Rand) arrival {
	service := time.Duration(float64(p.service) * math.Exp(serviceSigma*r.NormFloat64()))
	request := model.Request{Account: p.account, Idempotent: r.Float64() < idempotentShare, Slots: 1}
	deadline := p.deadline
	if large {
		request.Slots = largeSlots
		service *= largeFactor
		deadline *= largeFactor
	}
	request.Deadline = replayEpoch.Add(warmUp + at + deadline)
	return arrival{at: at, entry: r.IntN(entryCount), service: service, request: request}
}

func (b *burst) arrivals(r *rand.Rand) []arrival {
	var arrivals []arrival
	for range b.count {
		arrivals = append(arrivals, draw(profiles()[0], b.at, true, r))
	}
	return arrivals
}

// replayEpoch is when each replay begins.
var replayEpoch = time.UnixMilli(1_800_000_000_000)

func requestID(at time.Duration, n int) model.RequestID {
	ms := replayEpoch.Add(at).UnixMilli()
	return model.RequestID(fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n))
}
