package executor

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Core decides what happens to each request on an agent.
type Core struct {
	config  Config
	waiting map[model.RequestID]Receive
}

// New returns a Core without connections.
func New(config Config) *Core {
	return &Core{config: config.withDefaults(), waiting: map[model.RequestID]Receive{}}
}

// Step handles one input and returns what has to be done, in order.
func (c *Core) Step(_ time.Time, in Input) []Action {
	switch in := in.(type) {
	case LinkUp:
		credit := &wire.Credit{Seq: 1, Slots: c.config.Slots, Connections: c.config.Connections}
		return []Action{Send{To: in.Entry, Connection: in.Connection, Message: credit}}
	case Receive:
		if dispatch, ok := in.Message.(*wire.Dispatch); ok {
			c.waiting[dispatch.Request] = in
			return []Action{StartBackend{Request: model.Request{
				ID: dispatch.Request, Account: dispatch.Account, Idempotent: dispatch.Idempotent,
				Deadline: time.UnixMilli(dispatch.DeadlineUnixMS), BodyHash: dispatch.BodyHash,
				Slots: dispatch.Slots, Body: dispatch.Body,
			}}}
		}
	case BackendDone:
		from := c.waiting[in.Request]
		delete(c.waiting, in.Request)
		part := &wire.AnswerPart{
			Request: in.Request, Parts: 1, Total: len(in.Body), Status: in.Status,
			Failed: in.Result != BackendAnswered, Body: in.Body,
		}
		return []Action{Send{To: from.From, Connection: from.Connection, Message: part}}
	case Stop:
		return []Action{ReadyToStop{}}
	}
	return nil
}
