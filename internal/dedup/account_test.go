package dedup

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// TestHomeHidesRequestsOfOtherAccounts checks that a read by another account gets
// the same reply as for a request that was never seen.
func TestHomeHidesRequestsOfOtherAccounts(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	id := func(n int) model.RequestID {
		return model.RequestID(fmt.Sprintf("%08x-%04x-7000-8000-%012x", now.UnixMilli()>>16, now.UnixMilli()&0xffff, n))
	}
	claims := NewClaims(Limits{Self: "a", Incarnation: 1, Horizon: time.Hour, MaxRecords: 100})
	home := wire.HomeRange{Home: "a", Incarnation: 1, SinceUnixMS: wire.SinceFirstAssignment}
	claims.SetAssignment(now, wire.Assignment{Version: 1, Ranges: []wire.HomeRange{home}})
	claims.SetPermit(Permit{Assignment: 1, ValidUntil: now.Add(time.Second)})
	claims.Handle(now, "e", &wire.Claim{Request: id(1), Account: "cheese", Executor: "a", Assignment: 1, Token: 1})
	claims.Handle(now, "e", &wire.Claim{Request: id(2), Account: "cheese", SealOnly: true, Assignment: 1, Token: 2})
	cases := []struct {
		name    string
		request model.RequestID
		account model.ClientAccountID
		want    wire.RequestState
	}{
		{"own claim", id(1), "cheese", wire.StateClaimed},
		{"own seal", id(2), "cheese", wire.StateSealed},
		{"another's claim", id(1), "dents", wire.StateAbsent},
		{"another's seal", id(2), "dents", wire.StateAbsent},
		{"no account", id(1), "", wire.StateAbsent},
		{"never seen", id(3), "cheese", wire.StateAbsent},
	}
	for _, c := range cases {
		m := &wire.Claim{Request: c.request, Account: c.account, ReadOnly: true, Assignment: 1, Token: 9}
		reply := claims.Handle(now, "e", m)
		hidden := wire.ClaimReply{Request: c.request, State: wire.StateAbsent, Assignment: 1, Token: 9}
		if reply.State != c.want || (c.want == wire.StateAbsent && *reply != hidden) {
			t.Errorf("%s: got %+v", c.name, reply)
		}
	}
}
