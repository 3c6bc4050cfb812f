package dedup

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/result"
)

var testCell = Cell{DataCentre: "giza", Number: 1}

const lease = 5 * time.Second

func testStore() *Store {
	s := NewStore(DefaultLimits())
	s.SetBinding(NewBinding(map[string]int{"giza": 4, "maadi": 4}))
	return s
}

// homeTable returns the table of a cell's first owner, whose term is 10.
func homeTable() *Table {
	t := testStore().Table(testCell)
	t.TakeOver(0, Takeover{Term: 10, Until: lease})
	return t
}

func testID(text string) ID {
	return ID{Text: text, Cell: testCell}
}

// copyAndRenew copies the home's table to a peer and records a renewal that
// names the peer.
func copyAndRenew(t *testing.T, now time.Duration, home, peer *Table, vm string) {
	t.Helper()
	is := is.New(t)
	var serial uint64
	for _, part := range home.ExportCopy(now, vm, 256) {
		serial = part.Serial
		_, err := peer.ImportCopyPart(now, part)
		is.NoErr(err)
	}
	home.ConfirmCopy(vm, serial)
	renewal, synced := home.OfferRenewal()
	is.Equal(synced, []string{vm})
	home.RenewalRecorded(renewal)
}

// acknowledge collects the acknowledgements that the home needs before it sends
// a request.
func acknowledge(now time.Duration, run *Run, peers map[string]*Table) {
	for _, vm := range run.MissingAcknowledgements() {
		if p := peers[vm]; p != nil && p.AcknowledgeIntent(now, run.Intent()) == nil {
			run.PeerAcknowledged(vm)
		} else {
			run.PeerMissed(vm)
		}
	}
}

// Guards against a second run of an id, whether it arrives during the first run
// or later, and against losing the first answer.
func TestRepeatGetsFirstAnswer(t *testing.T) {
	is := is.New(t)
	home := homeTable()
	first := home.Begin(0, testID("a"), 1)
	is.Equal(first.Run.CheckSend(0), result.OK)
	second := home.Begin(0, testID("a"), 1)
	is.True(second.Run == nil && second.Wait != nil)
	first.Run.FinishAnswered(time.Second, &Answer{Status: 201, Body: []byte("x")})
	<-second.Wait
	is.Equal(home.Begin(time.Second, testID("a"), 1).Answer.Status, 201)
	is.Equal(home.Begin(time.Second, testID("a"), 2).Code, result.NotRunBadRequest) // another request
	retention := DefaultLimits().Retention
	home.ExtendLease(10, time.Hour)
	is.True(home.Begin(time.Second+retention-1, testID("a"), 1).Answer != nil)
	is.True(home.Begin(time.Second+retention, testID("a"), 1).Run != nil)
}

// Guards against two goroutines that both get a run for the same id.
func TestConcurrentBeginsRunOnce(t *testing.T) {
	is := is.New(t)
	home := homeTable()
	var runs, answers atomic.Int32
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for {
				b := home.Begin(0, testID("a"), 1)
				switch {
				case b.Run != nil:
					runs.Add(1)
					b.Run.FinishAnswered(0, &Answer{Status: 200})
				case b.Wait != nil:
					<-b.Wait
				default:
					answers.Add(1)
					return
				}
			}
		})
	}
	wg.Wait()
	is.Equal(runs.Load(), int32(1))
	is.Equal(answers.Load(), int32(16))
}

// Guards against a new run of an id in state "outcome unknown" or "answer not
// kept".
func TestFinalStatesPreventNewRuns(t *testing.T) {
	is := is.New(t)
	home := homeTable()
	home.Begin(0, testID("u"), 1).Run.FinishOutcomeUnknown(0)
	home.Begin(0, testID("n"), 1).Run.FinishAnswerNotKept(0)
	home.Begin(0, testID("big"), 1).Run.FinishAnswered(0, &Answer{Body: make([]byte, MaxAnswerBytes+1)})
	home.Begin(0, testID("max"), 1).Run.FinishAnswered(0, &Answer{Body: make([]byte, MaxAnswerBytes)})
	home.Begin(0, testID("w"), 1).Run.Withdraw()
	is.Equal(home.Begin(0, testID("u"), 1).Code, result.OutcomeUnknown)
	is.Equal(home.Begin(0, testID("n"), 1).Code, result.AnswerNotKept)
	is.Equal(home.Begin(0, testID("big"), 1).Code, result.AnswerNotKept)
	is.True(home.Begin(0, testID("max"), 1).Answer != nil)
	is.True(home.Begin(0, testID("w"), 1).Run != nil) // did not run: may be used again
}

// Guards against a send without the acknowledgement of a VM that a recorded or
// possibly recorded renewal names as synced.
func TestMissingAcknowledgementPreventsRun(t *testing.T) {
	is := is.New(t)
	home, peer := homeTable(), testStore().Table(testCell)
	copyAndRenew(t, 0, home, peer, "b")
	run := home.Begin(0, testID("a"), 1).Run
	is.Equal(run.MissingAcknowledgements(), []string{"b"})
	acknowledge(0, run, nil)
	is.Equal(run.CheckSend(0), result.NotRunRepeatProtection)
	run.Withdraw()
	serial, synced := home.OfferRenewal() // without b, but not yet recorded
	is.Equal(len(synced), 0)
	run = home.Begin(0, testID("a"), 1).Run
	acknowledge(0, run, nil)
	is.Equal(run.CheckSend(0), result.NotRunRepeatProtection)
	home.RenewalRecorded(serial)
	is.Equal(run.CheckSend(0), result.OK)
}

// Guards against a copy that lacks the ids that began during its transfer, and
// against rejecting requests because such a copy failed.
func TestPeerIsRequiredDuringCopyTransfer(t *testing.T) {
	is := is.New(t)
	home := homeTable()
	parts := home.ExportCopy(0, "b", 1<<20)
	run := home.Begin(0, testID("a"), 1).Run
	is.Equal(run.MissingAcknowledgements(), []string{"b"})
	acknowledge(0, run, nil)
	is.Equal(run.CheckSend(0), result.OK) // no renewal names b, so only its copy is invalidated
	home.ConfirmCopy("b", parts[0].Serial)
	_, synced := home.OfferRenewal()
	is.Equal(len(synced), 0)
	home.ExportCopy(0, "b", 1<<20)
	home.ConfirmCopy("b", parts[0].Serial) // late confirmation of the copy that lacks the id
	_, synced = home.OfferRenewal()
	is.Equal(len(synced), 0)
}

// Guards against a second run after the home failed: at a successor with a full
// copy, ids that may have run have an unknown outcome, answered ids return their
// answer, and new ids run.
func TestSyncedSuccessorHasEveryID(t *testing.T) {
	is := is.New(t)
	home, peer := homeTable(), testStore().Table(testCell)
	home.Begin(0, testID("answered"), 1).Run.FinishAnswered(0, &Answer{Status: 200, Body: make([]byte, 300)})
	home.Begin(0, testID("running"), 1)
	copyAndRenew(t, 0, home, peer, "b")
	run := home.Begin(0, testID("late"), 1).Run
	acknowledge(0, run, map[string]*Table{"b": peer})
	is.Equal(run.CheckSend(0), result.OK)

	is.True(peer.TakeOver(lease, Takeover{Term: 20, Previous: 10, Synced: true, Until: 2 * lease}))
	is.Equal(peer.Begin(lease, testID("answered"), 1).Answer.Status, 200)
	is.Equal(peer.Begin(lease, testID("running"), 1).Code, result.OutcomeUnknown)
	is.Equal(peer.Begin(lease, testID("late"), 1).Code, result.OutcomeUnknown)
	is.True(peer.Begin(lease, testID("new"), 1).Run != nil)
	old := Intent{Cell: testCell, Term: 10, ID: "x"}
	is.Equal(result.CodeOf(peer.AcknowledgeIntent(lease, old), result.OK), result.NotOwner)
}

// Guards against a successor without a full copy that runs an id which may
// have run before, for the whole retention time.
func TestUnsyncedSuccessorRunsOnlyProvablyNewIDs(t *testing.T) {
	is := is.New(t)
	for _, k := range []Takeover{
		{Term: 20, Previous: 10, Synced: false, Until: time.Hour},
		{Term: 20, Previous: 10, Synced: true, Until: time.Hour}, // named in the renewal, but lost its copy in a restart
	} {
		peer := testStore().Table(testCell)
		is.True(peer.TakeOver(lease, k))
		issued := func(term int64) ID { return ID{Text: fmt.Sprint("i", term), Cell: testCell, Term: term} }
		is.Equal(peer.Begin(lease, testID("a"), 1).Code, result.OutcomeUnknown)
		is.Equal(peer.Begin(lease, issued(10), 1).Code, result.OutcomeUnknown)
		is.Equal(peer.Begin(lease, issued(21), 1).Code, result.OutcomeUnknown) // issued under a later term
		is.True(peer.Begin(lease, issued(20), 1).Run != nil)
		is.True(peer.Begin(lease, ID{Text: "f", Cell: testCell, Term: 10, Fresh: true}, 1).Run != nil)
		end := lease + DefaultLimits().Retention + DefaultLimits().MaxRequest
		is.Equal(peer.Begin(end-1, testID("a"), 1).Code, result.OutcomeUnknown)
		is.True(peer.Begin(end, testID("a"), 1).Run != nil)
	}
}

// Guards against the unproven period ending early because a synced successor
// took the cell over from an unsynced one.
func TestUnprovenPeriodIsInherited(t *testing.T) {
	is := is.New(t)
	second, third := testStore().Table(testCell), testStore().Table(testCell)
	second.TakeOver(0, Takeover{Term: 20, Previous: 10, Until: lease})
	copyAndRenew(t, 0, second, third, "c")
	is.True(third.TakeOver(lease, Takeover{Term: 30, Previous: 20, Synced: true, Until: time.Hour}))
	is.Equal(third.Begin(lease, testID("a"), 1).Code, result.OutcomeUnknown)
	is.True(third.Begin(lease, ID{Text: "i", Term: 25}, 1).Run != nil)
}

// Guards against a run at a previous home whose lease has expired or whose cell
// was taken over, and against a "not run" answer for an id that may have run at
// the new home.
func TestOldHomeDoesNotRun(t *testing.T) {
	is := is.New(t)
	home := homeTable()
	run := home.Begin(0, testID("a"), 1).Run
	is.Equal(run.CheckSend(lease), result.OutcomeUnknown)
	is.Equal(home.Begin(lease, testID("b"), 1).Code, result.OutcomeUnknown)
	is.Equal(home.Begin(lease, ID{Text: "c", Fresh: true}, 1).Code, result.NotRunRepeatProtection)
	home.ObserveTerm(20)
	is.Equal(run.CheckSend(0), result.OutcomeUnknown)
	run.Withdraw()
	is.Equal(home.Begin(0, testID("a"), 1).Code, result.NotOwner)
	home.ExtendLease(10, time.Hour)
	is.True(!home.TakeOver(0, Takeover{Term: 15}))
}

// Guards against acknowledging an intent for an id that is running or has run
// on this VM.
func TestPeerRejectsIntentForIDThatRanHere(t *testing.T) {
	is := is.New(t)
	home := homeTable()
	home.Begin(0, testID("a"), 1)
	home.Begin(0, testID("b"), 1).Run.FinishOutcomeUnknown(0)
	for _, id := range []string{"a", "b"} {
		err := home.AcknowledgeIntent(0, Intent{Cell: testCell, Term: 20, ID: id, Fingerprint: 1})
		is.Equal(result.CodeOf(err, result.OK), result.OutcomeUnknown)
	}
}

// Guards against unbounded memory use, and against dropping an id early to stay
// within the bound.
func TestMemoryBound(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.MaxIDs = 3
	limits.MaxAnswers = 100
	store := NewStore(limits)
	home := store.Table(testCell)
	home.TakeOver(0, Takeover{Term: 10, Until: time.Hour})
	for _, id := range []string{"a", "b", "c"} {
		home.Begin(0, testID(id), 1).Run.FinishAnswered(0, &Answer{Body: make([]byte, 60)})
	}
	is.Equal(home.Begin(0, testID("a"), 1).Code, result.AnswerNotKept)
	is.Equal(home.Begin(0, testID("b"), 1).Code, result.AnswerNotKept)
	is.True(home.Begin(0, testID("c"), 1).Answer != nil)
	is.Equal(home.Begin(0, testID("d"), 1).Code, result.NotRunRepeatProtection)
	store.Expire(limits.Retention)
	ids, answers := store.Usage()
	is.Equal(ids+answers, int64(0))
	is.True(home.Begin(limits.Retention, testID("d"), 1).Run != nil)
}

// Guards against an id that resolves to different cells, and against ids that
// break a header or grow without bound.
func TestBinding(t *testing.T) {
	is := is.New(t)
	store := testStore()
	text := IssueID(Cell{"maadi", 3}, 77, 1, 2)
	id, err := store.Resolve(text)
	is.NoErr(err)
	is.Equal(id, ID{Text: text, Cell: Cell{"maadi", 3}, Term: 77})
	for _, text := range []string{"giza.order-1", "giza.9.77.00000000000000010000000000000002", "giza.01.77.00000000000000010000000000000002"} {
		id, err = store.Resolve(text)
		is.NoErr(err)
		is.True(id.Cell.DataCentre == "giza" && id.Term == 0 && id.Cell.Number < 4)
	}
	seen := map[Cell]bool{}
	for i := range 200 {
		id, _ = store.Resolve(fmt.Sprint("order-", i))
		seen[id.Cell] = true
	}
	is.Equal(len(seen), 8)
	for _, bad := range []string{"", strings.Repeat("x", MaxIDBytes+1), "a b", "a\r\nb", "é"} {
		_, err = store.Resolve(bad)
		is.Equal(result.CodeOf(err, result.OK), result.NotRunBadRequest)
	}
}

// Guards against an answer that evicts all others of its table and is then not kept itself,
// because other tables use the rest of the memory.
func TestAnswerThatCannotBeKeptEvictsNoOther(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.MaxAnswers = 100
	store := NewStore(limits)
	store.SetBinding(NewBinding(map[string]int{"giza": 4}))
	table := func(cell int) *Table {
		t := store.Table(Cell{DataCentre: "giza", Number: cell})
		t.TakeOver(0, Takeover{Term: 10, Until: lease})
		return t
	}
	finish := func(t *Table, id string, size int) {
		run := t.Begin(0, testID(id), 1).Run
		is.Equal(run.CheckSend(0), result.OK)
		run.FinishAnswered(0, &Answer{Body: make([]byte, size)})
	}
	other, own := table(0), table(1)
	finish(other, "other", 60)
	finish(own, "kept", 20)
	finish(own, "large", 50)
	is.Equal(own.Begin(0, testID("large"), 1).Code, result.AnswerNotKept)
	is.True(own.Begin(0, testID("kept"), 1).Answer != nil)
}

// Guards against a peer that keeps the fingerprint of a withdrawn request: after a takeover
// it would reject the request that ran under the same id as a different one.
func TestPeerTakesTheFingerprintOfTheNewestIntent(t *testing.T) {
	is := is.New(t)
	peer := testStore().Table(testCell)
	is.NoErr(peer.AcknowledgeIntent(0, Intent{Cell: testCell, Term: 10, ID: "a", Fingerprint: 1}))
	is.NoErr(peer.AcknowledgeIntent(0, Intent{Cell: testCell, Term: 10, ID: "a", Fingerprint: 2}))
	peer.TakeOver(0, Takeover{Term: 11, Previous: 10, Until: lease})
	is.Equal(peer.Begin(0, testID("a"), 2).Code, result.OutcomeUnknown)
	is.Equal(peer.Begin(0, testID("a"), 1).Code, result.NotRunBadRequest)
}
