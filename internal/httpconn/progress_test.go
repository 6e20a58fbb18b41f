package httpconn

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestProgress guards against giving up on an answer whose bytes still arrive, and
// against waiting for one whose bytes don't arrive any more or never end.
func TestProgress(t *testing.T) {
	const idle, limit, pause = 200 * time.Millisecond, 900 * time.Millisecond, 50 * time.Millisecond
	cases := []struct {
		name string
		// bytes are sent one by one, with a pause before each.
		bytes int
		ends  bool
		want  error
	}{
		{"arrives slowly", 10, true, nil},
		{"never begins", 0, false, os.ErrDeadlineExceeded},
		{"stops half way", 5, false, os.ErrDeadlineExceeded},
		{"never ends", 1000, false, os.ErrDeadlineExceeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { _, _ = near.Close(), far.Close() }()
			go func() {
				for range c.bytes {
					time.Sleep(pause)
					if _, err := far.Write([]byte{'x'}); err != nil {
						return
					}
				}
				if c.ends {
					_ = far.Close()
				}
			}()
			conn := &Progress{Conn: near, Idle: idle, Limit: limit}
			began := time.Now()
			if err := conn.SetReadDeadline(began.Add(2 * pause)); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(conn)
			if !errors.Is(err, c.want) || (c.ends && len(got) != c.bytes) {
				t.Errorf("%d of %d bytes, error %v, want %v", len(got), c.bytes, err, c.want)
			}
			if took := time.Since(began); took > 2*limit {
				t.Errorf("gave up after %s, allowed %s", took, limit)
			}
		})
	}
}
