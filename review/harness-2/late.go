//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// lateWrites is the disruption "platform_lost" with "late": the store carries some writes
// out seconds after they were sent, if their condition still holds, and answers none of
// these.
type lateWrites struct {
	mu    sync.Mutex
	until time.Time
	// chosen reports whether a write is one of these.
	chosen func(body []byte) bool
	delay  time.Duration
	// writes and late count the writes while the disruption lasts.
	writes, late int
}

func (l *lateWrites) begin(lasts, delay time.Duration, chosen func(body []byte) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until, l.delay, l.chosen = time.Now().Add(lasts), delay, chosen
}

// takes reports whether a call is to be carried out late.
func (l *lateWrites) takes(ctx *fasthttp.RequestCtx) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if string(ctx.Path()) != "/rows-tx" || !time.Now().Before(l.until) {
		return false
	}
	l.writes++
	if l.chosen(ctx.PostBody()) {
		l.late++
		return true
	}
	return false
}

// serveStore serves the store's calls, some of them late.
func (s *site) serveStore(listener net.Listener) {
	direct, err := net.Listen("tcp4", s.ip+":0")
	if err != nil {
		panic(err)
	}
	go func() { _ = (&fasthttp.Server{Handler: s.store.HandleRows}).Serve(direct) }()
	_ = (&fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if !s.late.takes(ctx) {
			s.store.HandleRows(ctx)
			return
		}
		body := bytes.Clone(ctx.PostBody())
		s.rec.say("store: takes %s and will carry it out in %v", writtenKeys(body), s.late.delay)
		time.AfterFunc(s.late.delay, func() {
			resp, err := http.Post("http://"+direct.Addr().String()+"/rows-tx", "application/json", bytes.NewReader(body))
			if err == nil {
				s.rec.say("store: carries out %s: status %d", writtenKeys(body), resp.StatusCode)
				_ = resp.Body.Close()
			}
		})
		// The caller hears nothing on this channel any more.
		time.Sleep(10 * time.Second)
		_ = ctx.Conn().Close()
	}}).Serve(listener)
}

// writtenKeys names the rows that a transaction puts.
func writtenKeys(body []byte) string {
	var tx struct {
		Put []struct{ Table, Part, Key string } `json:"put"`
	}
	_ = json.Unmarshal(body, &tx)
	var keys []string
	for _, row := range tx.Put {
		keys = append(keys, row.Table+"@"+row.Part+"/"+row.Key)
	}
	return strings.Join(keys, " ")
}
