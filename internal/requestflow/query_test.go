package requestflow

import (
	"testing"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// TestQueryOfAnotherAccount guards against a query that reveals another account's
// request on this entry host, and checks that the account is sent to the home.
func TestQueryOfAnotherAccount(t *testing.T) {
	submitted := func(r *rig) { r.submit(1, unmodified) }
	queried := func(account model.ClientAccountID) func(*rig) {
		return func(r *rig) { r.step(Query{Request: r.id(1), Account: account, Caller: 90}) }
	}
	cases := []struct {
		name    string
		before  func(*rig)
		account model.ClientAccountID
		want    string
	}{
		{"own request under way", submitted, "x", "query 3 invalid"},
		{"another's request under way", submitted, "y", "query 1 invalid"},
		{"own query under way", queried("x"), "x", ""},
		{"another's query under way", queried("y"), "x", "query 7 unknown"},
	}
	for _, c := range cases {
		r := newRig(Config{})
		c.before(r)
		if got := r.step(Query{Request: r.id(1), Account: c.account, Caller: 91}); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
	r := newRig(Config{})
	for _, action := range r.core.Step(r.now, Query{Request: r.id(1), Account: "x", Caller: 1}) {
		if claim, ok := action.(Send).Message.(*wire.Claim); !ok || claim.Account != "x" || !claim.ReadOnly {
			t.Errorf("sent %+v", action)
		}
	}
}

func TestQueriesOfOneAccountAreAnsweredTogether(t *testing.T) {
	r := newRig(Config{})
	r.step(Query{Request: r.id(1), Account: "x", Caller: 1})
	r.step(Query{Request: r.id(1), Account: "x", Caller: 2})
	reply := &wire.ClaimReply{Request: r.id(1), State: wire.StateAbsent, Token: r.core.lastToken}
	if got := r.from("a", reply); got != "query 1 invalid, query 1 invalid" {
		t.Errorf("got %q", got)
	}
}

func TestSubmitEndsAQuery(t *testing.T) {
	for account, want := range map[model.ClientAccountID]string{"x": "query 3 invalid", "y": "query 7 unknown"} {
		r := newRig(Config{})
		r.step(Query{Request: r.id(1), Account: account, Caller: 90})
		if got := r.submit(1, unmodified); len(got) < len(want) || got[:len(want)] != want {
			t.Errorf("query of %s: got %q, want %q first", account, got, want)
		}
	}
}
