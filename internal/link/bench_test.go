package link

import (
	"context"
	"net"
	"testing"
	"time"

	"dragonflyyard/internal/wire"
)

// benchmarkPair returns two connected hubs without a middlebox. Answers to
// Dispatch messages arrive on the returned channel of the dialling side.
func benchmarkPair(b *testing.B) (*Conn, <-chan wire.Message) {
	b.Helper()
	server := newNode("entry", wire.RoleEntry, wire.RoleAgent, Options{}, 16)
	client := newNode("agent", wire.RoleAgent, wire.RoleEntry, Options{}, 16)
	server.hub.Handle(wire.RoleAgent, wire.TypeLookup, func(c *Conn, m wire.Message) bool {
		return c.Send(&wire.AnswerPart{Request: m.(*wire.Lookup).Request, Parts: 1, Total: 64, Body: make([]byte, 64)})
	})
	answers := make(chan wire.Message, 1<<12)
	client.hub.Handle(wire.RoleEntry, wire.TypeAnswerPart, func(_ *Conn, m wire.Message) bool {
		select {
		case answers <- m:
			return true
		default:
			return false
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = server.hub.Accept(ctx, listener) }()
	go client.hub.Dial(ctx, listener.Addr().String())
	select {
	case o := <-client.events.Out():
		return o.conn, answers
	case <-time.After(limit):
		b.Fatal("no connection")
		return nil, nil
	}
}

// BenchmarkRoundTrip measures one message and its answer, one at a time and
// with several under way. Allocations are those of both ends together.
func BenchmarkRoundTrip(b *testing.B) {
	for _, c := range []struct {
		name     string
		underWay int
	}{{"one", 1}, {"64", 64}} {
		b.Run(c.name, func(b *testing.B) {
			conn, answers := benchmarkPair(b)
			b.ReportAllocs()
			b.ResetTimer()
			sent, received := 0, 0
			for received < b.N {
				for sent < b.N && sent-received < c.underWay {
					conn.Send(&wire.Lookup{Request: "0190b8a0-5c5c-7abc-8def-0123456789ab"})
					sent++
				}
				<-answers
				received++
			}
		})
	}
}
