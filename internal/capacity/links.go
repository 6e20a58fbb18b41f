package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// LinkCost is the memory of idle links over loopback.
type LinkCost struct {
	Links int
	// BytesPerEnd is the heap and the stacks of one end of a link.
	BytesPerEnd float64
}

// linkUpLimit bounds the wait for all links to come up.
const linkUpLimit = 30 * time.Second

// MeasureLinks opens a number of links to one hub and measures both ends.
func MeasureLinks(links int) (LinkCost, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return LinkCost{}, errors.Wrap(err, "listen")
	}
	before := linkMemory()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	server := newLinkHub("entry-1")
	running.Go(func() { _ = server.Accept(ctx, listener) })
	for i := range links {
		agent := newLinkHub(fmt.Sprintf("backend-%05d", i))
		running.Go(func() { agent.Dial(ctx, listener.Addr().String()) })
	}
	const poll = 10 * time.Millisecond
	for limit := time.Now().Add(linkUpLimit); len(server.Conns(wire.RoleAgent)) < links; time.Sleep(poll) {
		if time.Now().After(limit) {
			return LinkCost{}, errors.Newf("%d of %d links are up", len(server.Conns(wire.RoleAgent)), links)
		}
	}
	const ends = 2
	return LinkCost{Links: links, BytesPerEnd: (linkMemory() - before) / ends / float64(links)}, nil
}

func newLinkHub(process string) *link.Hub {
	identity := link.Identity{Process: process, Incarnation: 1, Hello: func() wire.Hello {
		id := model.BackendServerID(process)
		return wire.Hello{Role: wire.RoleAgent, Process: process, Incarnation: 1, Backend: &model.BackendServer{ID: id, Slots: 8}}
	}}
	const events = 4
	return link.NewHub(identity, link.Options{}, event.NewLog(process, events, time.Now), nil, time.Now)
}

// linkMemory returns the bytes of the heap and of all stacks in use.
func linkMemory() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}

func reportLinks(w io.Writer) error {
	fmt.Fprintln(w, "\n## Idle links")
	fmt.Fprintln(w, "\n| links | bytes of one end |")
	fmt.Fprintln(w, "| --- | --- |")
	var total []Point
	for _, links := range []int{50, 200, 800} {
		c, err := MeasureLinks(links)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "| %d | %.0f |\n", c.Links, c.BytesPerEnd)
		total = append(total, Point{float64(links), c.BytesPerEnd * float64(links)})
	}
	fmt.Fprintf(w, "\nSlope for each link: %.0f bytes.\n", Fit(total).Slope)
	return nil
}
