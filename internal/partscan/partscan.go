// Package partscan reads all parts of one table concurrently and retries the
// parts whose answers are lost.
//
// Load pattern: hundreds of parts, on a store that loses a third of its answers
// or is tens of times slower than usual. A scan that restarted after each lost
// answer would not complete before the store recovers, and one that read only a
// few parts concurrently would take seconds.
package partscan

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/storeapi"
)

// MaxConcurrentReads limits the concurrent part reads of one scan. Two
// concurrent scans and the other reads of a process stay below its 128 connections
// to the store.
const MaxConcurrentReads = 40

// maxConsecutiveLost is how many consecutive answers of one part may be lost,
// with no other part read meanwhile, before the scan treats the store as
// unavailable. A store that loses every third answer loses three consecutive
// answers of the last remaining part in one scan of thirty.
const maxConsecutiveLost = 3

// ErrLost marks the error of a read that was sent but got no answer. Such a read
// is retried; a refused read is not.
var ErrLost = errors.New("the answer was lost")

// Read calls read for each part of a table and returns the snapshots in the
// order of parts. Parts whose answers are lost are retried; any other error, or a
// part that reaches maxConsecutiveLost, fails the scan.
func Read(ctx context.Context, parts []string, read func(ctx context.Context, part string) (storeapi.Snapshot, error)) ([]storeapi.Snapshot, error) {
	s := &scan{read: read}
	snapshots := make([]storeapi.Snapshot, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(MaxConcurrentReads)
	for i, part := range parts {
		group.Go(func() (err error) {
			snapshots[i], err = s.readPart(ctx, part)
			return err
		})
	}
	return snapshots, group.Wait()
}

type scan struct {
	read func(ctx context.Context, part string) (storeapi.Snapshot, error)
	// answered counts the parts that were read.
	answered atomic.Int64
}

// readPart reads one part. It retries lost answers until the part is read, a read
// is refused, ctx ends, or maxConsecutiveLost is reached.
func (s *scan) readPart(ctx context.Context, part string) (storeapi.Snapshot, error) {
	for consecutiveLost := 0; ; {
		answeredBefore := s.answered.Load()
		snapshot, err := s.read(ctx, part)
		if err == nil {
			s.answered.Add(1)
			return snapshot, nil
		}
		if ctx.Err() != nil || !errors.Is(err, ErrLost) {
			return snapshot, err
		}
		if consecutiveLost++; s.answered.Load() != answeredBefore {
			consecutiveLost = 0
		}
		if consecutiveLost >= maxConsecutiveLost {
			return snapshot, err
		}
	}
}
