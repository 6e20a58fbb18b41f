package entry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// TestConfigurationThatFitsInNoFrameIsRefused adds accounts with the longest
// IDs until a change is refused. What was accepted before can be sent.
func TestConfigurationThatFitsInNoFrameIsRefused(t *testing.T) {
	p, err := New(Config{Settings: testSettings()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.linkListener.Close() })
	document := configstore.NewDocument()
	fill := func(accounts int) *model.ConfigDocument {
		for i := len(document.Accounts); i < accounts; i++ {
			id := model.ClientAccountID(fmt.Sprintf("%s-%06d", strings.Repeat("x", 120), i))
			document.Accounts[id] = model.ClientAccount{ID: id, Weight: 1}
			document.ObjectVersions["account/"+string(id)] = model.ConfigVersion(i + 1)
		}
		return document
	}
	cases := []struct {
		accounts int
		refused  bool
	}{{680, false}, {2000, false}, {3000, true}, {10_000, true}}
	for _, c := range cases {
		next := fill(c.accounts)
		err := p.State.validateChange(next, model.ConfigChange{})
		var refusal *configstore.ValidationError
		if isRefused := errors.As(err, &refusal); isRefused != c.refused || isRefused && refusal.Code != configstore.CodeTooLarge {
			t.Errorf("%d accounts: got %v", c.accounts, err)
		}
		if _, err := wire.Encode(&wire.ConfigUpdate{Document: next}); !c.refused && err != nil {
			t.Errorf("%d accounts were accepted: %v", c.accounts, err)
		}
	}
}
