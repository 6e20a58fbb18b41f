package storerelay

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

// clockedStore knows the store's time only after a successful scan, like a client
// over the network.
type clockedStore struct {
	*standin.Store
	scanned bool
}

func (s *clockedStore) Scan(ctx context.Context, prefix string) (storeapi.Snapshot, error) {
	snapshot, err := s.Store.Scan(ctx, prefix)
	s.scanned = s.scanned || err == nil
	return snapshot, err
}

func (s *clockedStore) StoreTime() (storeapi.TimeBounds, bool) {
	if !s.scanned {
		return storeapi.TimeBounds{}, false
	}
	return s.Store.StoreTime()
}

// TestFirstPeerRowHasWriteTime: a host that has just started must not write its row
// before it knows the store's time, since peers ignore rows without a write time.
func TestFirstPeerRowHasWriteTime(t *testing.T) {
	store := &clockedStore{Store: standin.NewStore(time.Now)}
	fresh := NewPeerDirectory(store, "c/relay/", "fresh", Peer{Address: "10.0.0.1:1", Zone: "z"}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); fresh.Run(ctx) }()
	var row storeapi.Row
	for row.Version == 0 {
		row, _ = store.Get(t.Context(), "c/relay/fresh") // Not found until it is written.
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	var peer Peer
	if err := rowcodec.Decode(row.Value, &peer); err != nil || peer.SentMS == 0 {
		t.Errorf("row %+v, %v", peer, err)
	}
	other := NewPeerDirectory(store, "c/relay/", "other", Peer{Zone: "z"}, zap.NewNop())
	if !other.read(t.Context()) || other.AddressOf("fresh") != "10.0.0.1:1" || other.AddressOf("none") != "" {
		t.Errorf("addresses %v", other.addresses)
	}
}

// TestOddPeerRowsAreIgnored guards against calling an address that no host has, and
// against a row of another writer that never expires.
func TestOddPeerRowsAreIgnored(t *testing.T) {
	store := standin.NewStore(time.Now)
	now := time.Now().UnixMilli()
	for name, peer := range map[string]Peer{
		"good":              {Address: "10.0.0.1:7000", SentMS: now},
		"port-out-of-range": {Address: "10.0.0.2:65536", SentMS: now},
		"no-port":           {Address: "10.0.0.3", SentMS: now},
		"far-ahead":         {Address: "10.0.0.4:7000", SentMS: now + time.Hour.Milliseconds()},
		"largest-time":      {Address: "10.0.0.5:7000", SentMS: math.MaxInt64},
		"smallest-time":     {Address: "10.0.0.6:7000", SentMS: math.MinInt64},
	} {
		if err := store.Seed("c/relay/"+name, rowcodec.Encode(&peer)); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Seed("c/relay/nested", []byte("\xa1\x61a"+strings.Repeat("\x81", 1<<15)+"\x01")); err != nil {
		t.Fatal(err)
	}
	d := NewPeerDirectory(store, "c/relay/", "self", Peer{Zone: "z"}, zap.NewNop())
	if !d.read(t.Context()) {
		t.Fatal("the rows were not read")
	}
	if peers := d.Peers(); len(peers) != 1 || peers[0] != "10.0.0.1:7000" {
		t.Errorf("peers %v, want only the good one", peers)
	}
}
