package hostile

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"dragonflyyard/internal/rowcodec"
)

// Size of a crowd.
const (
	clients = 80
	// connectionsEach is how many connections a client of TestConnectionsLeft opens.
	connectionsEach = 2
	// floodBytes is what a client sends at most when it sends without end.
	floodBytes = 4 << 20
	// pipelined is the number of requests that a client sends without reading answers.
	pipelined = 2000
	// writeWithin is how long a client goes on sending while nothing is read.
	writeWithin = 500 * time.Millisecond
)

// swellingJob returns a submission of very many steps.
func swellingJob() []byte {
	return []byte(`{"spec":"1s","steps":[` + strings.Repeat("{},", 260_000/3) + `{}]}`)
}

// swellingRows returns a message of very many empty rows.
func swellingRows(outer, list string) []byte {
	const rows = 1_900_000
	array := append([]byte{0x9a, byte(rows >> 24), byte(rows >> 16 & 0xff), byte(rows >> 8 & 0xff), byte(rows & 0xff)}, bytes.Repeat([]byte{0xf6}, rows)...)
	body := append([]byte{0xa1, 0x61, list[0]}, array...)
	if outer != "" {
		body = append([]byte{0xa1, 0x61, outer[0]}, body...)
	}
	return body
}

// swellingHeartbeat returns a heartbeat of very many labels.
func swellingHeartbeat() []byte {
	return []byte(`{"service":"s","labels":[` + strings.Repeat(`"",`, 1_300_000) + `""]}`)
}

func (f face) head(extra string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\n%s%s\r\n", f.method, f.path, f.headers, extra)
}

// write sends until all is sent, the connection is closed or nothing is read.
func write(c net.Conn, data []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err := c.Write(data)
	return err == nil
}

// flood sends a block again and again.
func flood(c net.Conn, block []byte) {
	for sent := 0; sent < floodBytes && write(c, block); sent += len(block) {
		continue
	}
}

// awaitContinue waits for an answer to the head of a request.
func awaitContinue(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(writeWithin))
	_, _ = c.Read(make([]byte, 256))
}

// faults are what clients send; each leaves its connection open.
var faults = []struct {
	name string
	send func(c net.Conn, f face)
}{
	{"announced far over the limit", func(c net.Conn, f face) {
		write(c, f.head("Content-Length: 1000000000\r\n"))
		flood(c, make([]byte, 64<<10))
	}},
	{"announced and waiting for 100", func(c net.Conn, f face) {
		write(c, f.head("Content-Length: 1000000000\r\nExpect: 100-continue\r\n"))
		awaitContinue(c)
		flood(c, make([]byte, 64<<10))
	}},
	{"chunked without end", func(c net.Conn, f face) {
		write(c, f.head("Transfer-Encoding: chunked\r\n"))
		flood(c, []byte("10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n"))
	}},
	{"unfinished body", func(c net.Conn, f face) {
		write(c, f.head(fmt.Sprintf("Content-Length: %d\r\n", f.limit)))
		write(c, make([]byte, f.limit-1))
	}},
	{"unfinished body waiting for 100", func(c net.Conn, f face) {
		write(c, f.head(fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n", f.limit)))
		awaitContinue(c)
		write(c, make([]byte, f.limit-1))
	}},
	{"unfinished form", func(c net.Conn, f face) {
		write(c, f.head(fmt.Sprintf("Content-Type: multipart/form-data; boundary=b\r\nContent-Length: %d\r\n", f.limit)))
		write(c, append([]byte("--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n"), make([]byte, f.limit-100)...))
	}},
	{"headers without end", func(c net.Conn, f face) {
		write(c, []byte(f.method+" "+f.path+" HTTP/1.1\r\n"))
		flood(c, []byte("X-Header: "+strings.Repeat("x", 1000)+"\r\n"))
	}},
	{"a byte at a time", func(c net.Conn, f face) {
		write(c, f.head(fmt.Sprintf("Content-Length: %d\r\n", f.limit)))
		for i := 0; i < 40 && write(c, []byte("{")); i++ {
			time.Sleep(5 * time.Millisecond)
		}
	}},
	{"swelling bodies", func(c net.Conn, f face) {
		body := f.swells
		if body == nil {
			body = bytes.Repeat([]byte("["), f.limit)
		}
		write(c, append(f.head(fmt.Sprintf("Content-Length: %d\r\n", len(body))), body...))
		awaitContinue(c)
	}},
	{"nested lists", func(c net.Conn, f face) {
		body := bytes.Repeat([]byte(`[`), 250_000)
		if f.name == "relay" || f.name == "pushes" {
			body = append(rowcodec.Encode(map[string]any{})[:0], bytes.Repeat([]byte{0x81}, 250_000)...)
		}
		write(c, append(f.head(fmt.Sprintf("Content-Length: %d\r\n", len(body))), body...))
	}},
	{"long numbers", func(c net.Conn, f face) {
		body := `{"steps":[{"count":` + strings.Repeat("9", 250_000) + `}],"service":1` + strings.Repeat("0", 10) + `}`
		write(c, append(f.head(fmt.Sprintf("Content-Length: %d\r\n", len(body))), body...))
	}},
	{"unread answers", func(c net.Conn, f face) {
		request := append(f.head(fmt.Sprintf("Content-Length: %d\r\n", len(f.body))), f.body...)
		for sent := 0; sent < pipelined && write(c, bytes.Repeat(request, 100)); sent += 100 {
			continue
		}
	}},
}

// crowd lets clients send to a face at the same time. They leave their connections open
// until the test ends.
func crowd(t *testing.T, f face, connections int, send func(c net.Conn, f face)) {
	t.Helper()
	var all sync.WaitGroup
	var mu sync.Mutex
	for range clients {
		all.Go(func() {
			for range connections {
				c, err := net.DialTimeout("tcp4", f.address, time.Second)
				if err != nil {
					continue
				}
				mu.Lock()
				t.Cleanup(func() { _ = c.Close() })
				mu.Unlock()
				send(c, f)
			}
		})
	}
	all.Wait()
}

// survives checks what holds after a crowd whose connections are still open.
func (p *process) survives(t *testing.T, f face) {
	t.Helper()
	// A server that goes on reading what lies in the socket has time to do so.
	time.Sleep(50 * time.Millisecond)
	peak, open := p.peakMB(t), p.openFiles(t)
	t.Logf("peak %d MB, %d descriptors", peak, open)
	if peak > memoryMB {
		t.Errorf("peak of memory %d MB, the machine has %d MB", peak, memoryMB)
	}
	if open >= descriptors {
		t.Errorf("%d descriptors of %d are in use, none is left for the store", open, descriptors)
	}
	if err := f.answered(); err != nil {
		t.Errorf("an ordinary request: %v\n%s", err, p.lastLines())
	}
	p.peakMB(t)
}

// program is a program with its faces.
type program struct {
	name  string
	start func(t *testing.T, binaries, store string) *process
	faces []string
}

var programs = []program{
	{"entry", startEntry, []string{"callers", "readiness", "metrics", "relay", "pushes"}},
	{"agent", startAgent, []string{"control", "metrics", "pushes"}},
}

// TestCrowds guards against a process that ends, or takes more memory or descriptors
// than its machine has, because clients send what no limit allows.
func TestCrowds(t *testing.T) {
	binaries := buildPrograms(t)
	for _, program := range programs {
		for _, name := range program.faces {
			for _, fault := range faults {
				t.Run(program.name+"/"+name+"/"+fault.name, func(t *testing.T) {
					p := program.start(t, binaries, startStore(t))
					crowd(t, p.faces[name], 1, fault.send)
					p.survives(t, p.faces[name])
				})
			}
		}
	}
}

// TestConnectionsLeft guards against a process that ends or stops accepting because
// clients open more connections than it has descriptors.
func TestConnectionsLeft(t *testing.T) {
	binaries := buildPrograms(t)
	for _, program := range programs {
		for _, name := range program.faces {
			t.Run(program.name+"/"+name, func(t *testing.T) {
				p := program.start(t, binaries, startStore(t))
				crowd(t, p.faces[name], connectionsEach, func(net.Conn, face) {})
				p.survives(t, p.faces[name])
			})
		}
	}
}

// TestUnreadScans guards against a relay that holds a large answer for each of many
// clients, which ask for a whole table and don't read it.
func TestUnreadScans(t *testing.T) {
	p := startEntry(t, buildPrograms(t), startStore(t))
	relay := p.faces["relay"]
	scan := relay
	scan.path, scan.body = "/store/scan", rowcodec.Encode(map[string]any{"k": "big/"})
	crowd(t, scan, 1, func(c net.Conn, f face) {
		write(c, bytes.Repeat(append(f.head(fmt.Sprintf("Content-Length: %d\r\n", len(f.body))), f.body...), 3))
		time.Sleep(scansTake)
	})
	p.survives(t, relay)
}

// TestHeldPolls guards against clients that let a relay wait for changes for ever, and so
// hold its connections and those to the store.
func TestHeldPolls(t *testing.T) {
	p := startEntry(t, buildPrograms(t), startStore(t))
	relay := p.faces["relay"]
	poll := relay
	poll.path, poll.body = "/store/changes", rowcodec.Encode(map[string]any{"k": "idle", "f": 1 << 30, "w": 1_000_000_000})
	crowd(t, poll, 1, func(c net.Conn, f face) {
		write(c, append(f.head(fmt.Sprintf("Content-Length: %d\r\n", len(f.body))), f.body...))
	})
	p.survives(t, relay)
}

// scansTake is how long clients leave their scans unread before the process is looked at.
const scansTake = 2 * time.Second

// TestUnfinishedBodiesInsideTheLimit guards against bodies that keep to the limits and
// never end, and so keep out large bodies of ordinary clients.
func TestUnfinishedBodiesInsideTheLimit(t *testing.T) {
	p := startEntry(t, buildPrograms(t), startStore(t))
	callers := p.faces["callers"]
	crowd(t, callers, 1, func(c net.Conn, f face) {
		write(c, f.head("Content-Length: 262144\r\n"))
		write(c, make([]byte, 262143))
	})
	callers.body = append(callers.body, bytes.Repeat([]byte(" "), 262144-len(callers.body))...)
	p.survives(t, callers)
}
