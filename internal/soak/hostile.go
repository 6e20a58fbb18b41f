package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// Hostile clients of a soak.
const (
	hostileClients = 24
	// holdsFor is how long a hostile client leaves a connection open at most.
	holdsFor = 1500 * time.Millisecond
	// hostileBytes is what it sends at most.
	hostileBytes = 1 << 20
)

// hostileRequests are what hostile clients begin with; a flood of bytes follows.
var hostileRequests = []string{
	"",
	"POST /low/00000000000000aa HTTP/1.1\r\nHost: h\r\nCredential: k\r\nContent-Length: 1000000000\r\n\r\n",
	"POST /low/00000000000000aa HTTP/1.1\r\nHost: h\r\nCredential: k\r\nContent-Length: 99999\r\n\r\n",
	"PUT /instances/i-0 HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n",
	"POST /rows/pushed HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n",
	"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nX: ",
}

// besiege lets hostile clients send to all addresses of the processes until ctx is done.
func besiege(ctx context.Context, s *site, seed uint64) {
	for i := range hostileClients {
		go func() {
			random := rand.New(rand.NewPCG(seed, uint64(100+i)))
			for ctx.Err() == nil {
				attack(s.faces[random.IntN(len(s.faces))], random)
			}
		}()
	}
}

// attack opens one connection, sends to it and leaves it open for a while.
func attack(address string, random *rand.Rand) {
	hold := time.Duration(random.Int64N(int64(holdsFor)))
	defer func(until time.Time) { time.Sleep(time.Until(until)) }(time.Now().Add(hold / 2))
	c, err := net.DialTimeout("tcp4", address, holdsFor)
	if err != nil {
		// The process is away.
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(hold))
	request := hostileRequests[random.IntN(len(hostileRequests))]
	if _, err := fmt.Fprint(c, request, strings.Repeat("[", random.IntN(hostileBytes))); err == nil {
		// Waits until the process closes the connection or the time is over.
		_, _ = c.Read(make([]byte, 1))
	}
}
