package configstore

import (
	"fmt"
	"strings"
	"testing"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// TestOversizedDocumentsAreRejected guards against documents that do not fit in
// a frame. It fills the configuration far beyond the 680 teams of the largest
// deployment.
func TestOversizedDocumentsAreRejected(t *testing.T) {
	account := &model.ClientAccount{ID: "one-more", Weight: 1}
	add := model.ConfigChange{ID: "c1", Object: ObjectAccount + "one-more", Account: account}
	cases := []struct {
		name     string
		document *model.ConfigDocument
		change   model.ConfigChange
		code     string
	}{
		{"largest deployment", teamDocument(680), add, ""},
		{"longest IDs of the largest deployment", longDocument(680), add, ""},
		{"longest IDs", longDocument(2000), add, ""},
		{"too many of the longest IDs", longDocument(3000), add, CodeDocumentTooLarge},
		{"too many teams", teamDocument(12_000), add, CodeDocumentTooLarge},
		{"more than a frame", teamDocument(40_000), add, CodeDocumentTooLarge},
		{"deletion", teamDocument(40_000), model.ConfigChange{ID: "c1", Object: ObjectGuarantee + "shape-0001", Delete: true}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, reason := Apply(c.document, c.change)
			if reason != nil {
				t.Fatal(reason)
			}
			reason = checkSize(next, c.change)
			if got := codeOf(reason); got != c.code {
				t.Errorf("got %q, want %q", got, c.code)
			}
			if _, err := wire.Encode(&wire.ConfigUpdate{Document: next}); c.code == "" && !c.change.Delete && err != nil {
				t.Errorf("accepted: %v", err)
			}
		})
	}
}

// longDocument returns a document with the given number of accounts, each with
// one of the longest IDs.
func longDocument(accounts int) *model.ConfigDocument {
	d := NewDocument()
	for i := range accounts {
		id := model.ClientAccountID(fmt.Sprintf("%s-%06d", strings.Repeat("x", 120), i))
		d.Accounts[id] = model.ClientAccount{ID: id, Weight: 1}
		d.ObjectVersions[ObjectAccount+string(id)] = model.ConfigVersion(i + 1)
	}
	return d
}

func codeOf(reason *ValidationError) string {
	if reason == nil {
		return ""
	}
	return reason.Code
}

// TestSubmitRejectsOversizedDocument submits a change to a host whose
// configuration already exceeds MaxDocumentBytes.
func TestSubmitRejectsOversizedDocument(t *testing.T) {
	now, _, hosts := newFleet(t, 1)
	run(now, DefaultLimits().PollEvery, hosts...)
	host := hosts[0]
	full := teamDocument(12_000)
	full.Version = host.core.document.Version
	host.core.document = full
	change := model.ConfigChange{ID: "c1", Object: ObjectAccount + "one-more", Account: &model.ClientAccount{ID: "one-more", Weight: 1}}
	token := host.submit(*now, change)
	if got := host.answers[token]; got.Verdict != VerdictInvalid || got.Invalid.Code != CodeDocumentTooLarge {
		t.Errorf("got %+v", got)
	}
}

func BenchmarkCheckSize(b *testing.B) {
	d := teamDocument(680)
	b.ReportAllocs()
	for b.Loop() {
		if reason := checkSize(d, zoneChange("c", 0, model.ZoneOut)); reason != nil {
			b.Fatal(reason)
		}
	}
	frame, _ := wire.Encode(&wire.ConfigUpdate{Document: d})
	b.ReportMetric(float64(len(frame)), "bytes")
}
