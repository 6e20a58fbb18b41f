package storerelay

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
)

// Peer is an entry host that relays, as its row tells.
type Peer struct {
	// Address (IP:port) is where the relay listens.
	Address string                     `codec:"a"`
	Zone    model.AvailabilityZoneName `codec:"z"`
	// Cores and LinkMbps are the host's share of a processor and its network link.
	Cores    float64 `codec:"c"`
	LinkMbps float64 `codec:"l"`
	// SentMS is when the row was written, on the store's clock.
	SentMS int64 `codec:"t"`
}

// Times of the book of peers.
const (
	// writeEvery is how often an entry host writes its row.
	writeEvery = 15 * time.Second
	// readEvery is how often the rows are read.
	readEvery = 8 * time.Second
	// readRetry is the pause after a failed read or write.
	readRetry = 500 * time.Millisecond
	// forgetAfter is the age from which a row is ignored.
	forgetAfter = time.Minute
)

// PeerDirectory knows the entry hosts that relay. It keeps what it knows while the store
// is away. It is safe for concurrent use.
type PeerDirectory struct {
	store  storeapi.Store
	prefix string
	self   Peer
	host   string
	log    *zap.Logger

	mu    sync.Mutex
	peers []string
	// addresses holds the relay address of each other host by its name.
	addresses map[string]string
	outranked bool
}

// NewPeerDirectory returns a book that reads the rows under a prefix. self is this
// host's own relay; an empty address is none.
func NewPeerDirectory(store storeapi.Store, prefix, host string, self Peer, log *zap.Logger) *PeerDirectory {
	return &PeerDirectory{store: store, prefix: prefix, host: host, self: self, log: log}
}

// Peers returns the relay addresses of other hosts, those of the own zone first.
func (b *PeerDirectory) Peers() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers
}

// AddressOf returns the relay address of another host, empty when it is not known.
func (b *PeerDirectory) AddressOf(host string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses[host]
}

// muchStronger is how many times the processor or the link of a peer exceeds the
// own one for it to count as stronger. Hosts of like size don't.
const muchStronger = 3

// Standing is how an entry host stands among those that relay.
type Standing struct {
	// Peers is the number of other hosts.
	Peers int
	// Outranked is set when a peer has much more processor or network, and none of
	// both less.
	Outranked bool
}

// Standing returns how this host stands among its peers.
func (b *PeerDirectory) Standing() Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Standing{Peers: len(b.peers), Outranked: b.outranked}
}

func (p Peer) muchStrongerThan(other Peer) bool {
	cores, link := p.Cores/other.Cores, p.LinkMbps/other.LinkMbps
	return cores >= 1 && link >= 1 && max(cores, link) >= muchStronger
}

// Run keeps the book until ctx is done.
func (b *PeerDirectory) Run(ctx context.Context) {
	var written time.Time
	for ctx.Err() == nil {
		pause := readEvery/2 + rand.N(readEvery)
		if !b.read(ctx) {
			pause = readRetry
		}
		if b.self.Address != "" && time.Since(written) > writeEvery {
			if b.write(ctx) {
				written = time.Now()
			} else {
				pause = readRetry
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// write writes the host's row, once a read has told the store's time: a row
// without its age is ignored by all.
func (b *PeerDirectory) write(ctx context.Context) bool {
	row := b.self
	var known bool
	if row.SentMS, known = b.store.StoreTime(time.Now()); !known {
		return false
	}
	_, err := b.store.Commit(ctx, storeapi.Transaction{Puts: []storeapi.Put{{Key: b.prefix + b.host, Value: rowcodec.Encode(&row)}}})
	if err != nil {
		b.log.Warn("relay_row_not_written", logging.Err(err))
	}
	return err == nil
}

func (b *PeerDirectory) read(ctx context.Context) bool {
	snapshot, err := b.store.Scan(ctx, b.prefix)
	if err != nil {
		b.log.Warn("relay_rows_not_read", logging.Err(err))
		return false
	}
	nowMS, _ := b.store.StoreTime(time.Now())
	var found []Peer
	addresses := map[string]string{}
	for _, row := range snapshot.Rows {
		var peer Peer
		if err := rowcodec.Decode(row.Value, &peer); err != nil {
			b.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
			continue
		}
		if row.Key != b.prefix+b.host && nowMS-peer.SentMS < forgetAfter.Milliseconds() {
			found = append(found, peer)
			addresses[strings.TrimPrefix(row.Key, b.prefix)] = peer.Address
		}
	}
	b.take(found)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = addresses
	return true
}

// take keeps the peers, the near ones first and otherwise in random order, so
// that hosts spread over them.
func (b *PeerDirectory) take(found []Peer) {
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(x, y Peer) int {
		return cmp.Compare(b.distance(x), b.distance(y))
	})
	addresses := make([]string, len(found))
	for i, peer := range found {
		addresses[i] = peer.Address
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers = addresses
	b.outranked = slices.ContainsFunc(found, func(p Peer) bool { return p.muchStrongerThan(b.self) })
}

func (b *PeerDirectory) distance(peer Peer) int {
	if peer.Zone == b.self.Zone {
		return 0
	}
	return 1
}
