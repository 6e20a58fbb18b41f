package requestflow

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Core decides what happens to each request on an entry host.
type Core struct {
	config  Config
	links   map[model.BackendServerID]uint64
	waiting map[model.RequestID][]Caller
}

// New returns a Core without connections.
func New(config Config) *Core {
	return &Core{
		config:  config.withDefaults(),
		links:   map[model.BackendServerID]uint64{},
		waiting: map[model.RequestID][]Caller{},
	}
}

// Step handles one input and returns what has to be done, in order.
func (c *Core) Step(_ time.Time, in Input) []Action {
	switch in := in.(type) {
	case LinkUp:
		c.links[in.Backend.ID] = in.Connection
	case LinkDown:
		delete(c.links, in.Backend)
	case Submit:
		return c.submit(in)
	case Receive:
		return c.receive(in)
	case Stop:
		return []Action{ReadyToStop{}}
	}
	return nil
}

func (c *Core) submit(in Submit) []Action {
	for backend, connection := range c.links {
		c.waiting[in.Request.ID] = append(c.waiting[in.Request.ID], in.Caller)
		return []Action{Send{To: backend, Connection: connection, Message: &wire.Dispatch{
			Request: in.Request.ID, Account: in.Request.Account, Idempotent: in.Request.Idempotent,
			BodyHash: in.Request.BodyHash, Slots: in.Request.Slots,
			DeadlineUnixMS: in.Request.Deadline.UnixMilli(), Parts: 1, Body: in.Request.Body,
		}}}
	}
	outcome := model.Outcome{Kind: model.OutcomeUnknown, Reason: model.ReasonNoBackendServer, RetryAfter: time.Second}
	return []Action{Finish{Request: in.Request.ID, Callers: []Caller{in.Caller}, Outcome: outcome}}
}

func (c *Core) receive(in Receive) []Action {
	part, ok := in.Message.(*wire.AnswerPart)
	if !ok || part.Parts != 1 {
		return nil
	}
	callers := c.waiting[part.Request]
	delete(c.waiting, part.Request)
	kind := model.OutcomeAnswered
	if part.Failed {
		kind = model.OutcomeBackendFailed
	}
	outcome := model.Outcome{Kind: kind, Status: part.Status, Body: part.Body}
	return []Action{Finish{Request: part.Request, Callers: callers, Outcome: outcome}}
}
