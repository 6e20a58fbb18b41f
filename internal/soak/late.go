package soak

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"dragonflyyard/internal/storeapi"
)

// Writes that the store carries out late.
const (
	minLateness = time.Second
	maxLateness = 6 * time.Second
	// lateEvery is the number of writes of which one is late. The submissions of jobs whose
	// IDs end with one of the digits lateJobs are all late, by maxLateness.
	lateEvery = 12
	lateJobs  = "258be"
	// submitsAfterFaults is for how long jobs are submitted once the last fault has ended.
	submitsAfterFaults = 4 * time.Second
)

// lateWrites returns which transactions the store carries out late.
func lateWrites(seed uint64) func(storeapi.Transaction) time.Duration {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 3))
	return func(tx storeapi.Transaction) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		for _, put := range tx.Puts {
			_, _, rest := storeapi.SplitKey(put.Key)
			if strings.HasPrefix(rest, "job/") && strings.ContainsAny(rest[len(rest)-1:], lateJobs) {
				return maxLateness
			}
		}
		if random.IntN(lateEvery) != 0 {
			return 0
		}
		return minLateness + time.Duration(random.Int64N(int64(maxLateness-minLateness)))
	}
}
