package storerelay

import (
	"context"
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

func (s *clockedStore) StoreTime(now time.Time) (int64, bool) {
	if !s.scanned {
		return 0, false
	}
	return s.Store.StoreTime(now)
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
