package workload

import (
	"net"
	"strconv"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
)

// Limits of what an agent or a worker may say of itself. Values beyond them come from
// another writer, and sums of them could overflow.
const (
	// maxCapacity bounds each component of a worker's capacity.
	maxCapacity = 1 << 40
	// MaxExactInteger is the largest integer that every JSON decoder reads exactly.
	MaxExactInteger = 1 << 53
	// MaxNameBytes bounds the names that a worker gives to itself; the platform allows
	// 200 bytes for each name that is part of a row's key.
	MaxNameBytes = 200
	// MaxLabelBytes bounds a worker's labels together.
	MaxLabelBytes = 4000
)

// ErrForeignRow is the error of a row that no process of this system writes.
var ErrForeignRow = errors.New("row of another writer")

// CheckCapacity returns an error for a capacity that no worker has.
func (r Resources) CheckCapacity() error {
	for _, amount := range []int{r.MilliCores, r.MemoryMB, r.Accelerators} {
		if amount < 0 || amount > maxCapacity {
			return errors.Newf("capacity %+v is out of range", r)
		}
	}
	return nil
}

// CheckAddress returns an error unless the text is a host and a port from 1 to 65535.
func CheckAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	if number, err := strconv.ParseUint(port, 10, 16); host == "" || number == 0 || err != nil {
		return errors.Newf("address %q has no host or its port is out of range", text)
	}
	return nil
}

// Check returns ErrForeignRow for an announcement that no agent has written under a key.
func (a *Announcement) Check(key string) error {
	err := a.Capacity.CheckCapacity()
	switch {
	case err != nil:
	case a.Host == "" || key != WorkerKey(a.Host):
		err = errors.Newf("the row names host %q", a.Host)
	case a.Worker == "":
		err = errors.New("the row names no worker")
	case a.State != WorkerReady && a.State != WorkerDraining && a.State != WorkerUnreachable && a.State != WorkerGone:
		err = errors.Newf("unknown state %q", a.State)
	case a.Generation > MaxExactInteger || a.Incarnation > model.Incarnation(MaxExactInteger) || a.SentMS < 0:
		err = errors.New("a number is out of range")
	case a.Address != "":
		err = CheckAddress(a.Address)
	}
	if err != nil {
		return errors.CombineErrors(errors.Wrapf(ErrForeignRow, "%q", key), err)
	}
	return nil
}
