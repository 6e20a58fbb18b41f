package entry_test

import (
	"testing"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/callerapi"
)

// lookUp asks an entry host what became of a request of an account.
func (r *region) lookUp(index int, id, account string) (status int, outcome, body string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + r.entries[index].HTTPAddress() + callerapi.PathRequests + "/" + id)
	if account != "" {
		request.Header.Set(callerapi.HeaderAccount, account)
	}
	if err := r.client.Do(request, response); err != nil {
		return 0, "", err.Error()
	}
	return response.StatusCode(), string(response.Header.Peek(callerapi.HeaderOutcome)), string(response.Body())
}

// TestOnlyTheAccountOfARequestReadsItsAnswer looks a finished request and one
// that never was up, through the entry host that ran it and through another.
func TestOnlyTheAccountOfARequestReadsItsAnswer(t *testing.T) {
	r := startRegion(t, regionOptions{entries: 2, agents: 1})
	c, never := newCall(false), newCall(false)
	if a := r.post(0, c); a.Status != fasthttp.StatusOK {
		t.Fatalf("not answered: %+v", a)
	}
	cases := []struct {
		name, id, account string
		status            int
		body              string
	}{
		{"own account", c.id, "cheese", fasthttp.StatusOK, c.body},
		{"another account", c.id, "dents", fasthttp.StatusNotFound, ""},
		{"no account", c.id, "", fasthttp.StatusBadRequest, ""},
		{"never seen", never.id, "cheese", fasthttp.StatusNotFound, ""},
	}
	bodies := map[string]string{}
	for index := range r.entries {
		for _, k := range cases {
			status, _, body := r.lookUp(index, k.id, k.account)
			if status != k.status || (k.body != "" && body != k.body) {
				t.Errorf("entry host %d, %s: status %d, body %q", index, k.name, status, body)
			}
			bodies[k.name] = body
		}
	}
	if bodies["another account"] != bodies["never seen"] {
		t.Errorf("another account is told %q, of an unknown request %q", bodies["another account"], bodies["never seen"])
	}
	if starts := r.ran(); starts[c.id] != 1 || starts[never.id] != 0 {
		t.Errorf("starts %v", starts)
	}
}
