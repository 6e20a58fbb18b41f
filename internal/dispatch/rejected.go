package dispatch

import (
	"slices"
	"strings"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// Split returns batches of one row each, in the order of a main batch.
func (b *Batch) Split() []*Batch {
	var out []*Batch
	for i, put := range b.Tx.Puts {
		row := &Batch{Kind: b.Kind, Tx: storeapi.Transaction{Puts: []storeapi.Put{put}}}
		if at := slices.Index(b.putIndexes, i); at >= 0 {
			row.orders, row.putIndexes = []*order{b.orders[at]}, []int{0}
		}
		out = append(out, row)
	}
	for _, key := range b.Tx.Deletes {
		out = append(out, &Batch{Kind: b.Kind, Tx: storeapi.Transaction{Deletes: []string{key}}})
	}
	return out
}

// FirstKey returns the key of the first row that a batch writes, or "" if it writes none.
func (b *Batch) FirstKey() string {
	for _, put := range b.Tx.Puts {
		return put.Key
	}
	for _, key := range b.Tx.Deletes {
		return key
	}
	return ""
}

// Rejected records that the store can never accept a main batch of one row. The job
// whose progress or order it is gets no further runs from this owner. The rows of its
// ends remain, because their effects are not stored: the next owner reads them again.
func (c *Core) Rejected(b *Batch) {
	id := model.JobID(strings.TrimPrefix(b.FirstKey(), workload.TableProgress+"/"))
	for _, o := range b.orders {
		id = o.job.ID
		c.unlink(o)
	}
	j := c.jobs[id]
	if j == nil || j.setAside {
		return
	}
	j.setAside = true
	c.processedEndKeys = slices.DeleteFunc(c.processedEndKeys, func(key string) bool { return strings.Contains(key, string(id)) })
	c.recordDecision(Decision{Kind: "job_set_aside", Job: id, Reason: "the store rejects the row " + b.FirstKey(), AgeMS: -1})
}
