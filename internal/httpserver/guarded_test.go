package httpserver

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"

	"dragonflyyard/internal/intake"
)

const testBody = 256 << 10

// serveGuarded returns a server that answers with the length of each body.
func serveGuarded(t testing.TB) *fasthttputil.InmemoryListener {
	t.Helper()
	l := fasthttputil.NewInmemoryListener()
	face := PeerFace("test", 1, testBody)
	face.MaxHeaderBytes = Fixed(16 << 10)
	s := NewGuarded(&fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { _, _ = fmt.Fprint(ctx, len(ctx.PostBody())) }},
		l, NewGuard(intake.Machine{MemoryMB: 64, Descriptors: 128}, zap.NewNop(), metrics.NewRegistry()), face)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// statuses sends requests in pieces and returns the answers' statuses and bodies.
func statuses(t testing.TB, l *fasthttputil.InmemoryListener, answers int, pieces ...string) string {
	t.Helper()
	c, err := l.Dial()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	go func(c net.Conn) {
		for _, piece := range pieces {
			// The server may have closed the connection.
			_, _ = c.Write([]byte(piece))
			time.Sleep(5 * time.Millisecond)
		}
	}(c)
	var out []string
	in := bufio.NewReader(c)
	for range answers {
		var resp fasthttp.Response
		if err := resp.Read(in); err != nil {
			t.Fatalf("after %q: %v", out, err)
		}
		out = append(out, fmt.Sprint(resp.StatusCode(), " ", string(resp.Body())))
	}
	return strings.Join(out, ", ")
}

// TestGuardedRequests guards against limits that refuse what is inside them, or that let a
// refused body be taken for the next request.
func TestGuardedRequests(t *testing.T) {
	l := serveGuarded(t)
	head := func(extra string) string { return "POST / HTTP/1.1\r\nHost: h\r\n" + extra + "\r\n" }
	length := func(n int) string { return head(fmt.Sprintf("Content-Length: %d\r\n", n)) }
	body := strings.Repeat("x", testBody)
	for _, c := range []struct {
		name    string
		answers int
		pieces  []string
		want    string
	}{
		{"the largest body in pieces", 1, []string{length(testBody), body[:9000], body[9000:70000], body[70000:]}, "200 262144"},
		{"the largest body in chunks", 1, []string{head("Transfer-Encoding: chunked\r\n"), "20000\r\n" + body[:0x20000] + "\r\n", "20000\r\n" + body[:0x20000] + "\r\n", "0\r\n\r\n"}, "200 262144"},
		{"three requests at once", 3, []string{length(3) + "abc" + length(9000) + body[:9000] + head("")}, "200 3, 200 9000, 200 0"},
		{"a large header", 1, []string{head("X: " + strings.Repeat("x", 15<<10) + "\r\n")}, "200 0"},
		{"a header over the limit", 1, []string{head("X: " + strings.Repeat("x", 17<<10) + "\r\n")}, "431 "},
		{"an announced body over the limit", 1, []string{length(testBody + 1)}, "413 "},
		{"the same, waiting for 100", 1, []string{head("Expect: 100-continue\r\nContent-Length: 262145\r\n")}, "413 "},
		{"a body in chunks over the limit", 1, []string{head("Transfer-Encoding: chunked\r\n"), "50000\r\n" + body, body}, "413 "},
		{"a body in chunks that is cut off", 1, []string{head("Transfer-Encoding: chunked\r\n"), "3\r\nabcd\r\n"}, "400 "},
		{"a form", 1, []string{head("Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 4\r\n") + "abcd"}, "200 4"},
	} {
		if got := statuses(t, l, c.answers, c.pieces...); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// FuzzGuarded guards against bytes that end a guarded server or hold what is not theirs:
// the next client is still served.
func FuzzGuarded(f *testing.F) {
	for _, seed := range []string{"", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "GET / HTTP/1.1\r\nAnnounced-Body-Refused: 1\r\n\r\n", "\x00\xff\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	l := serveGuarded(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := l.Dial()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(data)
		_ = c.Close()
		if got := statuses(t, l, 1, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"); got != "200 2" {
			t.Errorf("the next client got %q", got)
		}
	})
}
