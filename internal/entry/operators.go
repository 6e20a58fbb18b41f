package entry

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/guarantee"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/process"
)

// operatorPatience is how long an operator's call waits for its answer.
const operatorPatience = 8 * time.Second

// changeSubmit is an operator's change with the channel for its answer.
type changeSubmit struct {
	change model.ConfigChange
	answer chan configstore.Answer
}

// changeLookup asks for a kept change by its ID.
type changeLookup struct {
	change model.ChangeID
	limit  int
	answer chan []model.ConfigChange
}

func (s *State) submitChange(now time.Time, submit changeSubmit) {
	s.nextToken++
	s.waiters[s.nextToken] = submit.answer
	s.stepConfig(now, configstore.Submit{Token: s.nextToken, Change: submit.change})
}

func (s *State) answerChange(answer configstore.Answer) {
	if answer.Verdict == configstore.VerdictAccepted {
		s.p.Log.Record(event.Event{Code: event.ConfigAccepted, Subject: answer.Version.String()})
	}
	waiter := s.waiters[answer.Token]
	delete(s.waiters, answer.Token)
	if waiter != nil {
		waiter <- answer
	}
}

func (s *State) lookUpChange(lookup changeLookup) {
	history := s.config.History(s.config.HistoryLen())
	if lookup.change == "" {
		lookup.answer <- history[:min(lookup.limit, len(history))]
		return
	}
	for _, change := range history {
		if change.ID == lookup.change {
			lookup.answer <- []model.ConfigChange{change}
			return
		}
	}
	lookup.answer <- nil
}

// validateGuarantee refuses a guarantee that the fleet has no room for beside
// all other guarantees. It runs on the state duty.
func (s *State) validateGuarantee(next *model.ConfigDocument, change model.ConfigChange) error {
	if change.Guarantee == nil {
		return nil
	}
	others := map[string]model.GuaranteedShape{}
	for name, shape := range next.Guarantees {
		if name != change.Guarantee.Name {
			others[name] = shape
		}
	}
	ledger := guarantee.NewLedger()
	for _, worker := range s.agents.fleet() {
		ledger.SetWorker(worker, true)
	}
	ledger.SetGuarantees(others)
	if err := ledger.Admit(*change.Guarantee); err != nil {
		return &configstore.ValidationError{Code: configstore.CodeGuaranteeDoesNotFit, Message: err.Error()}
	}
	return nil
}

// registerOperators adds the operators' routes of the configuration.
func (s *State) registerOperators() {
	s.p.HandleHTTP(fasthttp.MethodPost, operatorapi.PathChanges, s.serveChange)
	s.p.HandleHTTP(fasthttp.MethodGet, operatorapi.PathChanges+"/", s.serveChangeLookup)
	s.p.HandleHTTP(fasthttp.MethodGet, operatorapi.PathConfig, s.serveConfig)
	s.p.HandleHTTP(fasthttp.MethodGet, operatorapi.PathConfigHistory, s.serveHistory)
}

func (s *State) serveChange(ctx *fasthttp.RequestCtx) {
	change, refused := operatorapi.DecodeChange(ctx.PostBody())
	if refused != nil {
		process.WriteError(ctx, refused.Status(), refused.Code, refused.Sentence)
		return
	}
	change.Time = s.p.Now().UTC()
	submit := &changeSubmit{change: change, answer: make(chan configstore.Answer, 1)}
	if s.p.IsStopping() || !s.inputs.TryPush(stateInput{submit: submit}) {
		s.writeChange(ctx, change, configstore.Answer{Verdict: configstore.VerdictBusy, RetryAfter: time.Second})
		return
	}
	timer := time.NewTimer(operatorPatience)
	defer timer.Stop()
	select {
	case answer := <-submit.answer:
		s.writeChange(ctx, change, answer)
	case <-timer.C:
		s.writeChange(ctx, change, configstore.Answer{Verdict: configstore.VerdictInDoubt, RetryAfter: time.Second})
	}
}

// writeChange answers an operator's change over HTTP.
func (s *State) writeChange(ctx *fasthttp.RequestCtx, change model.ConfigChange, answer configstore.Answer) {
	reply := operatorapi.ChangeReply{
		Change: change.ID, Version: answer.Version, Winner: answer.Winner,
		RetryAfterMS: answer.RetryAfter.Milliseconds(),
	}
	status := fasthttp.StatusOK
	switch answer.Verdict {
	case configstore.VerdictAccepted:
		reply.Status = operatorapi.ChangeAccepted
	case configstore.VerdictConflict:
		status, reply.Status = fasthttp.StatusConflict, operatorapi.ChangeConflict
		reply.Code, reply.Sentence = "version_conflict", "Another change of this object won."
	case configstore.VerdictInvalid:
		process.WriteError(ctx, fasthttp.StatusUnprocessableEntity, answer.Invalid.Code, answer.Invalid.Message)
		return
	case configstore.VerdictInDoubt:
		status, reply.Status = fasthttp.StatusGatewayTimeout, operatorapi.ChangeInDoubt
		reply.Code, reply.Sentence = "in_doubt", "It is not known yet whether the change was written; send it again under the same ID."
	default:
		status, reply.Status = fasthttp.StatusServiceUnavailable, operatorapi.ChangeNotAccepted
		reply.Code, reply.Sentence = string(answer.Verdict), "Nothing was changed; come back later."
	}
	setRetryAfter(ctx, answer.RetryAfter)
	process.WriteJSON(ctx, status, reply)
}

func (s *State) serveChangeLookup(ctx *fasthttp.RequestCtx) {
	id := model.ChangeID(strings.TrimPrefix(string(ctx.Path()), operatorapi.PathChanges+"/"))
	found, ok := s.askHistory(ctx, &changeLookup{change: id})
	if !ok {
		return
	}
	if len(found) == 0 {
		process.WriteJSON(ctx, fasthttp.StatusNotFound, operatorapi.ChangeReply{
			Change: id, Status: operatorapi.ChangeUnknown, Code: "unknown_change",
			Sentence: "No kept change of this ID is part of the configuration.",
		})
		return
	}
	process.WriteJSON(ctx, fasthttp.StatusOK, operatorapi.ChangeReply{
		Change: id, Status: operatorapi.ChangeAccepted, Version: found[0].Version,
	})
}

func (s *State) askHistory(ctx *fasthttp.RequestCtx, lookup *changeLookup) ([]model.ConfigChange, bool) {
	lookup.answer = make(chan []model.ConfigChange, 1)
	if s.inputs.TryPush(stateInput{lookup: lookup}) {
		timer := time.NewTimer(operatorPatience)
		defer timer.Stop()
		select {
		case found := <-lookup.answer:
			return found, true
		case <-timer.C:
		}
	}
	writeReply(ctx, errorReply(fasthttp.StatusServiceUnavailable, "busy", "The entry host is busy; come back later.", time.Second))
	return nil, false
}

func (s *State) serveConfig(ctx *fasthttp.RequestCtx) {
	document, ready := s.Document()
	if !ready {
		writeReply(ctx, errorReply(fasthttp.StatusServiceUnavailable, "no_configuration", "No configuration was read yet.", time.Second))
		return
	}
	process.WriteJSON(ctx, fasthttp.StatusOK, document)
}

func (s *State) serveHistory(ctx *fasthttp.RequestCtx) {
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	if limit == 0 || limit > operatorapi.MaxHistory {
		limit = operatorapi.MaxHistory
	}
	before := model.ConfigVersion(ctx.QueryArgs().GetUintOrZero("before"))
	found, ok := s.askHistory(ctx, &changeLookup{limit: historyWindow})
	if !ok {
		return
	}
	history := operatorapi.History{Changes: []model.ConfigChange{}}
	for _, change := range found {
		history.Oldest = change.Version
		if (before == 0 || change.Version < before) && len(history.Changes) < limit {
			history.Changes = append(history.Changes, change)
		}
	}
	process.WriteJSON(ctx, fasthttp.StatusOK, history)
}

// historyWindow bounds the changes that one history call looks through.
const historyWindow = 1 << 20
