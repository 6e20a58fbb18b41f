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
	"dragonflyyard/internal/workload"
)

// Peer is the store row of an entry host that relays calls.
type Peer struct {
	// Address (IP:port) is the relay's listening address.
	Address string                     `codec:"a"`
	Zone    model.AvailabilityZoneName `codec:"z"`
	// Cores and LinkMbps are the processor share, in cores, and the network
	// bandwidth of the host.
	Cores    float64 `codec:"c"`
	LinkMbps float64 `codec:"l"`
	// SentMS is when the row was written, in milliseconds of the store's clock.
	SentMS int64 `codec:"t"`
}

// Intervals of a PeerDirectory.
const (
	// writeInterval is the minimum interval between writes of an entry host's row.
	writeInterval = 15 * time.Second
	// readInterval is the mean interval between reads of the rows.
	readInterval = 8 * time.Second
	// retryDelay is the delay after a failed read or write.
	retryDelay = 500 * time.Millisecond
	// maxRowAge is the age at which a row is ignored.
	maxRowAge = time.Minute
)

// PeerDirectory caches the list of entry hosts that relay calls. It keeps the last
// list while the store is unavailable. It is safe for concurrent use.
type PeerDirectory struct {
	store  storeapi.Store
	prefix string
	self   Peer
	host   string
	log    *zap.Logger

	mu    sync.Mutex
	peers []string
	// addresses maps the names of the other hosts to their relay addresses.
	addresses map[string]string
	outranked bool
}

// NewPeerDirectory returns a directory of the rows under a prefix. self is this
// host's own row; with an empty address it is not written.
func NewPeerDirectory(store storeapi.Store, prefix, host string, self Peer, log *zap.Logger) *PeerDirectory {
	return &PeerDirectory{store: store, prefix: prefix, host: host, self: self, log: log}
}

// Peers returns the relay addresses of the other hosts, those of this host's zone
// first.
func (d *PeerDirectory) Peers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peers
}

// AddressOf returns the relay address of another host, or "" if it is unknown.
func (d *PeerDirectory) AddressOf(host string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses[host]
}

// muchStronger is the ratio of a peer's processor share or bandwidth to this
// host's from which the peer counts as much stronger. Hosts of similar size don't.
const muchStronger = 3

// Standing compares an entry host with its peers.
type Standing struct {
	// Peers is the number of other hosts.
	Peers int
	// Outranked is set when a peer has much more processor share or bandwidth than
	// this host, and not less of the other.
	Outranked bool
}

// Standing compares this host with its peers as of the last successful read.
func (d *PeerDirectory) Standing() Standing {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Standing{Peers: len(d.peers), Outranked: d.outranked}
}

func (p Peer) muchStrongerThan(other Peer) bool {
	cores, link := p.Cores/other.Cores, p.LinkMbps/other.LinkMbps
	return cores >= 1 && link >= 1 && max(cores, link) >= muchStronger
}

// Run reads the rows and writes this host's row periodically until ctx is done.
func (d *PeerDirectory) Run(ctx context.Context) {
	var written time.Time
	for ctx.Err() == nil {
		pause := readInterval/2 + rand.N(readInterval)
		if !d.read(ctx) {
			pause = retryDelay
		}
		if d.self.Address != "" && time.Since(written) > writeInterval {
			if d.write(ctx) {
				written = time.Now()
			} else {
				pause = retryDelay
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// write writes this host's row. It fails until a read has provided the store's
// time, because readers ignore rows without a write time.
func (d *PeerDirectory) write(ctx context.Context) bool {
	row := d.self
	now, known := d.store.StoreTime()
	if !known {
		return false
	}
	row.SentMS = now.LatestMS
	_, err := d.store.Commit(ctx, storeapi.Transaction{Puts: []storeapi.Put{{Key: d.prefix + d.host, Value: rowcodec.Encode(&row)}}})
	if err != nil {
		d.log.Warn("relay_row_not_written", logging.Err(err))
	}
	return err == nil
}

func (d *PeerDirectory) read(ctx context.Context) bool {
	snapshot, err := d.store.Scan(ctx, d.prefix)
	if err != nil {
		d.log.Warn("relay_rows_not_read", logging.Err(err))
		return false
	}
	now, _ := d.store.StoreTime()
	var found []Peer
	addresses := map[string]string{}
	for _, row := range snapshot.Rows {
		var peer Peer
		err := rowcodec.Decode(row.Value, &peer)
		if err == nil {
			err = workload.CheckAddress(peer.Address)
		}
		if err != nil {
			d.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
			continue
		}
		// A write time far ahead is as wrong as an old one: the row would never expire.
		recent := peer.SentMS > now.LatestMS-maxRowAge.Milliseconds() && peer.SentMS < now.LatestMS+maxRowAge.Milliseconds()
		if row.Key != d.prefix+d.host && recent {
			found = append(found, peer)
			addresses[strings.TrimPrefix(row.Key, d.prefix)] = peer.Address
		}
	}
	d.setPeers(found)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses = addresses
	return true
}

// setPeers replaces the list of peers. Those in this host's zone come first; the
// order is otherwise random, which spreads the calls of all hosts over the peers.
func (d *PeerDirectory) setPeers(found []Peer) {
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(x, y Peer) int {
		return cmp.Compare(d.distance(x), d.distance(y))
	})
	addresses := make([]string, len(found))
	for i, peer := range found {
		addresses[i] = peer.Address
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = addresses
	d.outranked = slices.ContainsFunc(found, func(p Peer) bool { return p.muchStrongerThan(d.self) })
}

func (d *PeerDirectory) distance(peer Peer) int {
	if peer.Zone == d.self.Zone {
		return 0
	}
	return 1
}
