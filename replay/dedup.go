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
	errNoRun  = errors.New("no run in progress has this label")
	errRunEnd = errors.New(`"how" is not "answer", "not-kept", "unknown" or "withdrawn"`)
	errHasRun = errors.New("a run in progress already has this label")
)

// dedupMachine replays package dedup.
type dedupMachine struct {
	store  *dedup.Store
	table  *dedup.Table
	events []trace.Event
	// runs holds the runs in progress by label.
	runs map[string]*dedup.Run
}

func newDedupMachine(config json.RawMessage) (machine, error) {
	c := dedupConfig{Limits: dedup.DefaultLimits()}
	if err := trace.DecodeStrict(config, &c); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if c.DataCentre == "" {
		return nil, errors.New("config: dataCentre is missing")
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
		m.table.ExtendLease(e.Term, e.Until)
	case trace.TermObserved:
		m.table.ObserveTerm(e.Term)
	case trace.RequestArrived:
		return m.beginRequest(now, e)
	case trace.IntentReceived:
		err := m.table.AcknowledgeIntent(now, dedup.Intent{Cell: m.table.Cell(), Term: e.Term, ID: e.ID, Fingerprint: e.Fingerprint})
		return verdictActions(verdict{ID: e.ID, Verdict: codeName(err, "acknowledged")}), nil
	case trace.CopyExported, trace.CopyImported, trace.CopyConfirmed, trace.RenewalOffered, trace.RenewalRecorded:
		return m.stepCopy(now, ev), nil
	default:
		return m.stepRun(now, ev)
	}
	return nil, nil
}

// codeName returns the name of an error's code, or ok if err is nil.
func codeName(err error, ok string) string {
	if err == nil {
		return ok
	}
	return result.CodeOf(err, result.OutcomeUnknown).String()
}

func verdictActions(v verdict) []action {
	return []action{{name: "Verdict", content: v}}
}

// beginRequest handles the arrival of a request. A request that may run is kept
// under its label until its run ends.
func (m *dedupMachine) beginRequest(now time.Duration, e trace.RequestArrived) ([]action, error) {
	if m.runs[e.Request] != nil {
		return nil, errHasRun
	}
	id, err := m.store.Resolve(e.ID)
	if err != nil {
		return verdictActions(verdict{Request: e.Request, Verdict: codeName(err, "")}), nil
	}
	id.Fresh = e.Fresh
	begin := m.table.Begin(now, id, e.Fingerprint)
	v := verdict{Request: e.Request, ID: e.ID, Verdict: begin.Code.String()}
	switch {
	case begin.Run != nil:
		m.runs[e.Request] = begin.Run
		v.Verdict, v.Missing = "run", begin.Run.MissingAcknowledgements()
	case begin.Answer != nil:
		v.Verdict, v.Status, v.Body = "answer", begin.Answer.Status, string(begin.Answer.Body)
	case begin.Wait != nil:
		v.Verdict = "wait"
	}
	return verdictActions(v), nil
}

// stepRun handles the events of a run in progress.
func (m *dedupMachine) stepRun(now time.Duration, ev trace.Event) ([]action, error) {
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
		run.PeerAcknowledged(e.VM)
	case trace.PeerNotAcknowledged:
		run.PeerMissed(e.VM)
	case trace.RunSending:
		v := verdict{Request: label, Verdict: "send"}
		if code := run.CheckSend(now); code != result.OK {
			v.Verdict = code.String()
		}
		return verdictActions(v), nil
	case trace.RunEnded:
		return nil, m.endRun(now, run, e)
	}
	return nil, nil
}

// endRun ends a run as the event says and removes its label.
func (m *dedupMachine) endRun(now time.Duration, run *dedup.Run, e trace.RunEnded) error {
	switch e.How {
	case "answer":
		run.FinishAnswered(now, &dedup.Answer{Status: e.Status, Body: []byte(e.Body)})
	case "not-kept":
		run.FinishAnswerNotKept(now)
	case "unknown":
		run.FinishOutcomeUnknown(now)
	case "withdrawn":
		run.Withdraw()
	default:
		return errRunEnd
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
