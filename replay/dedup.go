package replay

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/trace"
)

// Errors of request table events.
var (
	errNoRun   = errors.New("no run has this label")
	errRunHow  = errors.New(`how is not "answer", "not-kept", "unknown" or "withdrawn"`)
	errRunning = errors.New("a run has this label already")
)

// dedupMachine replays package dedup.
type dedupMachine struct {
	store  *dedup.Store
	table  *dedup.Table
	events []trace.Event
	runs   map[string]*dedup.Run
}

func newDedup(config json.RawMessage) (machine, error) {
	c := dedupConfig{Limits: dedup.DefaultLimits()}
	if err := trace.DecodeStrict(config, &c); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if c.DataCentre == "" {
		return nil, errors.New("config: needs dataCentre")
	}
	store := dedup.NewStore(c.Limits)
	store.SetBinding(dedup.NewBinding(c.DataCentres))
	return &dedupMachine{
		store:  store,
		table:  store.Table(dedup.Cell{DataCentre: c.DataCentre, Number: c.Cell}),
		events: trace.DedupEvents(),
		runs:   make(map[string]*dedup.Run),
	}, nil
}

func (m *dedupMachine) step(now time.Duration, event string, data json.RawMessage) ([]action, error) {
	ev, err := decodeEvent(m.events, event, data)
	if err != nil {
		return nil, err
	}
	switch e := ev.(type) {
	case trace.CellTakenOver:
		accepted := m.table.TakeOver(now, dedup.Takeover{Term: e.Term, Previous: e.Previous, Synced: e.Synced, Until: e.Until})
		return []action{{name: "TakenOver", content: map[string]bool{"accepted": accepted}}}, nil
	case trace.AuthorityExtended:
		m.table.Extend(e.Term, e.Until)
	case trace.TermObserved:
		m.table.Observe(e.Term)
	case trace.RequestArrived:
		return m.arrive(now, e)
	case trace.IntentReceived:
		err := m.table.Acknowledge(now, dedup.Intent{Cell: m.table.Cell(), Term: e.Term, ID: e.ID, Fingerprint: e.Fingerprint})
		return verdictOf(verdict{ID: e.ID, Verdict: codeName(err, "acknowledged")}), nil
	case trace.CopyExported, trace.CopyImported, trace.CopyConfirmed, trace.RenewalOffered, trace.RenewalRecorded:
		return m.copyStep(now, ev), nil
	default:
		return m.runStep(now, ev)
	}
	return nil, nil
}

// codeName returns the name of an error's code, or ok without an error.
func codeName(err error, ok string) string {
	if err == nil {
		return ok
	}
	return result.CodeOf(err, result.OutcomeUnknown).String()
}

func verdictOf(v verdict) []action {
	return []action{{name: "Verdict", content: v}}
}

func (m *dedupMachine) arrive(now time.Duration, e trace.RequestArrived) ([]action, error) {
	if m.runs[e.Request] != nil {
		return nil, errRunning
	}
	id, err := m.store.Resolve(e.ID)
	if err != nil {
		return verdictOf(verdict{Request: e.Request, Verdict: codeName(err, "")}), nil
	}
	id.Fresh = e.Fresh
	begin := m.table.Begin(now, id, e.Fingerprint)
	v := verdict{Request: e.Request, ID: e.ID, Verdict: begin.Code.String()}
	switch {
	case begin.Run != nil:
		m.runs[e.Request] = begin.Run
		v.Verdict, v.Missing = "run", begin.Run.Missing()
	case begin.Answer != nil:
		v.Verdict, v.Status, v.Body = "answer", begin.Answer.Status, string(begin.Answer.Body)
	case begin.Wait != nil:
		v.Verdict = "wait"
	}
	return verdictOf(v), nil
}

// runStep handles the events of one run.
func (m *dedupMachine) runStep(now time.Duration, ev trace.Event) ([]action, error) {
	label := ""
	switch e := ev.(type) {
	case trace.PeerAcknowledged:
		label = e.Request
	case trace.PeerNotAcknowledged:
		label = e.Request
	case trace.RunSending:
		label = e.Request
	case trace.RunEnded:
		label = e.Request
	}
	run := m.runs[label]
	if run == nil {
		return nil, errNoRun
	}
	switch e := ev.(type) {
	case trace.PeerAcknowledged:
		run.Acknowledged(e.VM)
	case trace.PeerNotAcknowledged:
		run.Missed(e.VM)
	case trace.RunSending:
		v := verdict{Request: label, Verdict: "send"}
		if code := run.Start(now); code != result.OK {
			v.Verdict = code.String()
		}
		return verdictOf(v), nil
	case trace.RunEnded:
		return nil, m.end(now, run, e)
	}
	return nil, nil
}

func (m *dedupMachine) end(now time.Duration, run *dedup.Run, e trace.RunEnded) error {
	switch e.How {
	case "answer":
		run.Answer(now, &dedup.Answer{Status: e.Status, Body: []byte(e.Body)})
	case "not-kept":
		run.NotKept(now)
	case "unknown":
		run.Unknown(now)
	case "withdrawn":
		run.Withdraw()
	default:
		return errRunHow
	}
	delete(m.runs, e.Request)
	return nil
}

func (m *dedupMachine) state(time.Duration, object) (any, error) {
	term, home := m.table.Home()
	return dedupState{Home: home, Term: term, IDs: m.table.Len()}, nil
}

func (m *dedupMachine) dump(now time.Duration) any {
	state, _ := m.state(now, nil)
	return state
}
