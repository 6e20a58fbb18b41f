// Package partscan reads the many parts of one table.
//
// Load pattern: hundreds of parts, on a store that loses a third of its answers
// or is tens of times slower than usual. A scan that began anew after each lost
// answer would not end before the spell does, and one that read few parts at a
// time would take seconds.
package partscan

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/storeapi"
)

// MaxConcurrentReads bounds the parts that one scan reads at the same time. Two scans and the
// reads beside them take less than the 128 connections of a process to the store.
const MaxConcurrentReads = 40

// maxLost is how many answers of a part may be lost in a row while no other part
// was answered, before the store counts as away. A store that loses every third
// answer loses three in a row of the last part in one scan of thirty.
const maxLost = 3

// ErrLost marks the error of a read whose answer did not come. It may be repeated;
// a refused read is not.
var ErrLost = errors.New("the answer was lost")

// Read reads the parts of a table, each with read, and returns what they hold in
// the order of their names.
func Read(ctx context.Context, parts []string, read func(ctx context.Context, part string) (storeapi.Snapshot, error)) ([]storeapi.Snapshot, error) {
	s := &scan{read: read}
	snapshots := make([]storeapi.Snapshot, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(MaxConcurrentReads)
	for i, part := range parts {
		group.Go(func() (err error) {
			snapshots[i], err = s.part(ctx, part)
			return err
		})
	}
	return snapshots, group.Wait()
}

type scan struct {
	read     func(ctx context.Context, part string) (storeapi.Snapshot, error)
	answered atomic.Int64
}

// part reads one part until it is answered, is refused, or the store counts as away.
func (s *scan) part(ctx context.Context, part string) (storeapi.Snapshot, error) {
	for lost := 0; ; {
		before := s.answered.Load()
		snapshot, err := s.read(ctx, part)
		if err == nil {
			s.answered.Add(1)
			return snapshot, nil
		}
		if ctx.Err() != nil || !errors.Is(err, ErrLost) {
			return snapshot, err
		}
		if lost++; s.answered.Load() != before {
			lost = 0
		}
		if lost >= maxLost {
			return snapshot, err
		}
	}
}
