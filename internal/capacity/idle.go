package capacity

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/entry"
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Sizes of a region today.
const (
	AgentsToday     = 11
	EntryHostsToday = 3
)

// FrameRate is how often a process sends and receives one kind of frame.
type FrameRate struct {
	Kind       string
	PerSecond  float64
	FrameBytes int
}

// BytesPerSecond includes the headers of each frame.
func (f FrameRate) BytesPerSecond() float64 {
	return f.PerSecond * float64(f.FrameBytes+PacketOverheadBytes)
}

// oldLinkSeq is the number of a heartbeat on a link that is days old. Numbers
// take 5 bytes from 65,536 on, so frames of young links are shorter.
const oldLinkSeq = 1 << 20

// IdleEntryFrames returns the frames of an entry host in a region where nothing
// happens, on links that are days old.
func IdleEntryFrames(agents, entryHosts int) ([]FrameRate, error) {
	roster := make([]model.EntryID, entryHosts)
	for i := range roster {
		roster[i] = model.EntryID(fmt.Sprintf("entry-%d", i+1))
	}
	beats := perSecond(link.DefaultHeartbeat)
	kinds := []struct {
		name    string
		message wire.Message
		rate    float64
	}{
		{"agents' heartbeats", &wire.Heartbeat{Seq: oldLinkSeq, AckSeq: 1}, beats * float64(agents)},
		{"permits", &wire.Permit{
			Seq: oldLinkSeq, ValidMS: 2500, AnsweredHeartbeat: oldLinkSeq, Config: oldLinkSeq, OwnerEpoch: 77, Assignment: 12,
		}, beats * float64(agents)},
		{"entry hosts' heartbeats, both ways", &wire.Heartbeat{Seq: oldLinkSeq, AckSeq: oldLinkSeq, NoStatus: true}, 2 * beats * float64(entryHosts-1)},
		{"statuses, both ways", &wire.StoreStatus{
			Reachable: true, Config: oldLinkSeq, OwnerEpoch: 77, Seq: oldLinkSeq, Assignment: 12, Established: true, Roster: roster,
		}, 2 * perSecond(entry.StatusInterval) * float64(entryHosts-1)},
	}
	var rates []FrameRate
	for _, kind := range kinds {
		frame, err := wire.Encode(kind.message)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", kind.name)
		}
		rates = append(rates, FrameRate{Kind: kind.name, PerSecond: kind.rate, FrameBytes: len(frame)})
	}
	return rates, nil
}

func perSecond(interval time.Duration) float64 { return 1 / interval.Seconds() }

// totalBytes returns the sum over all kinds.
func totalBytes(rates []FrameRate) float64 {
	sum := 0.0
	for _, rate := range rates {
		sum += rate.BytesPerSecond()
	}
	return sum
}

func reportIdle(w io.Writer) error {
	rates, err := IdleEntryFrames(AgentsToday, EntryHostsToday)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "\n## Idle entry host, %d agents, %d entry hosts, links days old\n\n", AgentsToday, EntryHostsToday)
	fmt.Fprintln(w, "| frames | frame bytes | a second | bytes a second with headers |")
	fmt.Fprintln(w, "| --- | --- | --- | --- |")
	for _, r := range rates {
		fmt.Fprintf(w, "| %s | %d | %.1f | %.0f |\n", r.Kind, r.FrameBytes, r.PerSecond, r.BytesPerSecond())
	}
	total := totalBytes(rates)
	fmt.Fprintf(w, "| all | | | %.0f of %d (%.2f) |\n", total, MaxBytesPerSecond, total/MaxBytesPerSecond)
	return nil
}
