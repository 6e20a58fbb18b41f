package agent

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/httpconn"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
)

// FuzzWorkerTasks decodes any bytes as the worker's list of tasks.
func FuzzWorkerTasks(f *testing.F) {
	for _, seed := range []string{
		`{"tasks":[]}`, `{"tasks":[{"id":"job/0","attempt":2,"state":"running","done_ms":5,"checkpoint_ms":1}]}`,
		`{"tasks":[{"id":"a"},{"id":"a"}]}`, `{"tasks":null}`, `{}`, `{"tasks":[{"id":"a","done_ms":-1}]}`, `[`, `{"tasks":[{"id":"a","attempt":-1}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		tasks, err := decodeTasks(body)
		if err != nil {
			return
		}
		seen := map[model.TaskID]bool{}
		for _, task := range tasks {
			if task.ID == "" || seen[task.ID] || task.DoneMS < 0 || task.CheckpointMS < 0 {
				t.Errorf("accepted %+v", task)
			}
			seen[task.ID] = true
		}
	})
}

// scriptedConn answers every call with the same bytes and then ends.
type scriptedConn struct {
	net.Conn
	answer io.Reader
}

func (c *scriptedConn) Read(p []byte) (int, error)       { return c.answer.Read(p) }
func (c *scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }
func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// FuzzBackendAnswer answers a call of the backend server with any bytes, and
// with all of them but the last: a cut answer is lost or the very same.
func FuzzBackendAnswer(f *testing.F) {
	for _, seed := range []string{
		standin.Whole(200, "", "hello"), standin.Whole(503, "", "why"), standin.Whole(204, "", ""), standin.Chunked("hello") + "0\r\n\r\n",
		standin.Chunked("hello") + "0\r\nTrailer: x\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" + standin.Whole(200, "", "hello"),
		"HTTP/1.1 200 x\r\n\r\nhello", "HTTP/1.0 200 x\r\nContent-Length: 5\r\n\r\nhello", standin.Whole(200, "X-Request-Id: other\r\n", "hello"),
		"HTTP/1.1 200 x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 101 x\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	call := func(raw []byte) executor.BackendDone {
		client := newHostClient("127.0.0.1:1", 1, 1<<20, time.Minute)
		client.http.DialTimeout = func(string, time.Duration) (net.Conn, error) {
			return &httpconn.Conn{Conn: &scriptedConn{answer: bytes.NewReader(raw)}}, nil
		}
		caller := &backendCaller{client: client, uri: "http://127.0.0.1:1" + backendPath, now: time.Now}
		return caller.call(model.Request{ID: "r", Account: "a", Deadline: time.Now().Add(time.Hour)})
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		done := call(raw)
		if done.Result == executor.BackendNotStarted || done.Result == 0 {
			t.Fatalf("result %d after the call was sent", done.Result)
		}
		if len(raw) == 0 || done.Result == executor.BackendLost {
			return
		}
		cut := call(raw[:len(raw)-1])
		if cut.Result != executor.BackendLost && (cut.Status != done.Status || !bytes.Equal(cut.Body, done.Body)) {
			t.Errorf("whole: %d %q; cut: %d %q", done.Status, done.Body, cut.Status, cut.Body)
		}
	})
}
