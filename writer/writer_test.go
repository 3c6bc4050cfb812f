package writer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/writer"
)

// pollInterval is the poll interval of the fixture's reader.
const pollInterval = 250 * time.Millisecond

// fixture is a writer with a reader that ignores duplicate records, running in
// virtual time.
type fixture struct {
	is     *is.I
	log    *fakeLog
	writer *writer.Writer
	ctx    context.Context
	cancel context.CancelFunc
	// items counts how often each item was applied.
	items           map[string]int
	readerPaused    bool
	next            int64
	highestSequence uint64
}

// runFixture runs body in a synctest bubble, that is in virtual time.
func runFixture(t *testing.T, plan []appendBehaviour, options writer.Options, body func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		options.Stream = "resources"
		options.Incarnation = 0xabc
		f := &fixture{is: is.New(t), log: &fakeLog{plan: plan}, items: make(map[string]int), next: 1}
		f.writer = writer.New(f.log, options)
		f.ctx, f.cancel = context.WithCancel(t.Context())
		defer f.cancel()
		go func() { _ = f.writer.Run(f.ctx) }()
		body(f)
		f.cancel()
		time.Sleep(2 * lateAppendDelay) // let late appends finish before the bubble ends
		synctest.Wait()
	})
}

// poll reads the new records once and reports them to the writer.
func (f *fixture) poll() {
	page, err := f.log.Read(f.ctx, "", f.next, 0)
	f.is.NoErr(err)
	for _, r := range page.Records {
		f.next = r.Offset + 1
		id, err := record.ParseID(r.ID)
		f.is.NoErr(err)
		if id.Sequence <= f.highestSequence {
			continue
		}
		f.highestSequence = id.Sequence
		items, err := writer.Unframe(r.Data)
		f.is.NoErr(err)
		for _, item := range items {
			f.items[string(item)]++
		}
		f.writer.Observed(r.ID, r.Offset)
	}
}

// advance advances the virtual time by d; the reader polls unless it is paused.
func (f *fixture) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(pollInterval)
		if !f.readerPaused {
			f.poll()
		}
	}
	synctest.Wait()
}

func (f *fixture) submit(text string) *writer.Submission {
	s, err := f.writer.Submit([]byte(text))
	f.is.NoErr(err)
	return s
}

func (f *fixture) waitOrWithdraw(s *writer.Submission, d time.Duration) writer.Result {
	ctx, cancel := context.WithTimeout(f.ctx, d)
	defer cancel()
	return s.Wait(ctx)
}

// Guards against a separate record for each item: items submitted while an
// append is in flight must share one record, in order.
func TestItemsAreBatchedWhileAppendIsInFlight(t *testing.T) {
	runFixture(t, nil, writer.Options{}, func(f *fixture) {
		first := f.submit("a")
		synctest.Wait()
		var rest []*writer.Submission
		for i := range 20 {
			rest = append(rest, f.submit(fmt.Sprint(i)))
		}
		f.advance(2 * time.Second)
		f.is.Equal(f.waitOrWithdraw(first, 0), writer.Result{Outcome: writer.Accepted, Offset: 1})
		for i, s := range rest {
			r, final := s.Result()
			f.is.True(final)
			f.is.Equal(r, writer.Result{Outcome: writer.Accepted, Offset: 2, Index: i})
		}
		f.is.Equal(len(f.log.ids()), 2)
		f.is.Equal(f.writer.Stats(), writer.Stats{Batches: 2, Items: 21, Appends: 2})
	})
}

// Guards against an item that counts as accepted before its record was read
// back, and against an append that is not retried although its record may be
// missing.
func TestItemIsAcceptedOnlyAfterReadBack(t *testing.T) {
	runFixture(t, nil, writer.Options{}, func(f *fixture) {
		f.readerPaused = true
		s := f.submit("a")
		f.advance(3 * time.Second)
		_, final := s.Result()
		f.is.True(!final)
		ids := f.log.ids()
		f.is.True(len(ids) > 1) // retried
		for _, id := range ids {
			f.is.Equal(id, ids[0])
		}
		f.readerPaused = false
		f.advance(time.Second)
		r, final := s.Result()
		f.is.True(final)
		f.is.Equal(r.Outcome, writer.Accepted)
		f.is.Equal(f.items["a"], 1)
	})
}

// Guards against a lost response that duplicates or loses an item.
func TestLostResponseIsAcceptedOnce(t *testing.T) {
	plan := []appendBehaviour{loseResponse, failAmbiguously, hang, loseResponse}
	runFixture(t, plan, writer.Options{}, func(f *fixture) {
		f.readerPaused = true
		s := f.submit("a")
		f.advance(10 * time.Second)
		f.readerPaused = false
		f.advance(time.Second)
		f.is.Equal(f.waitOrWithdraw(s, 0), writer.Result{Outcome: writer.Accepted, Offset: 1})
		f.is.Equal(f.items["a"], 1)
	})
}

// Guards against a withdrawn item that reaches the log although it was reported
// as not sent.
func TestWithdrawnItemsAreNeverSent(t *testing.T) {
	plan := []appendBehaviour{refuseConnection, refuseConnection, refuseConnection, refuseConnection, refuseConnection, refuseConnection}
	runFixture(t, plan, writer.Options{}, func(f *fixture) {
		first := f.submit("a")
		f.advance(time.Second)
		second := f.submit("b")
		f.is.Equal(f.waitOrWithdraw(second, 10*time.Millisecond).Outcome, writer.NotSent)
		f.is.Equal(f.waitOrWithdraw(first, 15*time.Millisecond).Outcome, writer.NotSent)
		f.is.Equal(result.CodeOf(writer.Result{Outcome: writer.NotSent}.Err(), result.OK), result.NotRunLogUnavailable)
		third := f.submit("c")
		f.advance(time.Minute)
		f.is.Equal(f.waitOrWithdraw(third, 0).Outcome, writer.Accepted)
		f.is.Equal(f.items, map[string]int{"c": 1})
	})
}

// Guards against an item that is reported as not sent although an append with
// unknown outcome may write it to the log later.
func TestAmbiguousAppendIsNeverReportedNotSent(t *testing.T) {
	for _, ambiguous := range []appendBehaviour{hangThenAppend, hang, failAmbiguously, loseResponse} {
		// The rejected retries must not turn the outcome into "not sent".
		plan := []appendBehaviour{refuseConnection, ambiguous, refuseConnection, refuseConnection, refuseConnection, refuseConnection, refuseConnection, refuseConnection}
		runFixture(t, plan, writer.Options{}, func(f *fixture) {
			f.readerPaused = true
			s := f.submit("a")
			r := f.waitOrWithdraw(s, 4*time.Second)
			f.is.Equal(r.Outcome, writer.Unknown)
			f.is.Equal(result.CodeOf(r.Err(), result.OK), result.WriteOutcomeUnknown)
			f.cancel()
			synctest.Wait()
			f.is.Equal(s.Withdraw().Outcome, writer.Unknown)
		})
	}
}

// Guards against a stop of the writer that leaves submissions without a final
// result or reports a wrong outcome.
func TestStopEndsAllSubmissions(t *testing.T) {
	runFixture(t, []appendBehaviour{hang}, writer.Options{}, func(f *fixture) {
		sent := f.submit("a")
		time.Sleep(time.Second)
		queued := f.submit("b")
		f.cancel()
		<-sent.Done()
		<-queued.Done()
		f.is.Equal(sent.Withdraw().Outcome, writer.Unknown)
		f.is.Equal(queued.Withdraw().Outcome, writer.NotSent)
		synctest.Wait()
		_, err := f.writer.Submit([]byte("c"))
		f.is.Equal(result.CodeOf(err, result.OK), result.NotRunLogUnavailable)
	})
}

// Guards against an append that blocks the next batch or counts as a failure
// although its record was read back before the response arrived.
func TestReadBackEndsTheAppend(t *testing.T) {
	options := writer.Options{AppendTimeout: time.Hour, Failed: func(id string, err error) { t.Errorf("%s: %v", id, err) }}
	runFixture(t, []appendBehaviour{appendThenHang, appendThenHang}, options, func(f *fixture) {
		f.submit("a")
		f.advance(time.Second)
		f.submit("b")
		f.advance(time.Second)
		f.is.Equal(f.items, map[string]int{"a": 1, "b": 1})
		f.is.Equal(f.writer.Stats(), writer.Stats{Batches: 2, Items: 2, Appends: 2})
	})
}

// Guards against unbounded batches, an unbounded queue and oversized items.
func TestBatchAndQueueLimits(t *testing.T) {
	options := writer.Options{MaxBatchItems: 3, MaxBatchBytes: 40, MaxPending: 5}
	runFixture(t, []appendBehaviour{refuseConnection}, options, func(f *fixture) {
		_, err := f.writer.Submit(make([]byte, 31))
		f.is.Equal(result.CodeOf(err, result.OK), result.TooLarge)
		f.submit("first")
		synctest.Wait()
		for range 5 {
			f.submit("abcd")
		}
		_, err = f.writer.Submit([]byte("x"))
		f.is.Equal(result.CodeOf(err, result.OK), result.NotRunLogUnavailable)
		f.advance(5 * time.Second)
		records, _ := f.log.counts()
		f.is.Equal(records, 4) // 1 item, then 2, 2 and 1 because of MaxBatchBytes
	})
}

// Guards against a second writer of the same incarnation that reuses sequence
// numbers, so that readers ignore its records as duplicates, and against batches
// that follow each other faster than Interval.
func TestSequenceContinuesAndIntervalHolds(t *testing.T) {
	options := writer.Options{LastSequence: 41, Interval: 5 * time.Second}
	runFixture(t, nil, options, func(f *fixture) {
		f.submit("a")
		f.advance(time.Second)
		f.submit("b")
		f.advance(3 * time.Second)
		f.is.Equal(f.log.ids(), []string{"0000000000000abc-42"})
		f.advance(3 * time.Second)
		f.is.Equal(f.log.ids(), []string{"0000000000000abc-42", "0000000000000abc-43"})
		f.is.Equal(f.writer.LastSequence(), uint64(43))
	})
}

// Guards against items that are lost, duplicated or misreported in any mix of
// failures, and against two appends in flight at the same time.
func TestRandomFailures(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		var plan []appendBehaviour
		for range 60 {
			plan = append(plan, appendBehaviour(random.IntN(int(hangThenAppend)+1)))
		}
		runFixture(t, plan, writer.Options{}, func(f *fixture) {
			submissions := make(map[string]*writer.Submission)
			for i := range 100 {
				name := fmt.Sprint(i)
				submissions[name] = f.submit(name)
				f.advance(time.Duration(random.IntN(800)) * time.Millisecond)
				if random.IntN(3) == 0 {
					submissions[name].Withdraw()
				}
			}
			f.advance(5 * time.Minute)
			for name, s := range submissions {
				r, final := s.Result()
				if !final || (r.Outcome == writer.Accepted) != (f.items[name] == 1) || f.items[name] > 1 {
					t.Fatalf("seed %d: item %s has result %+v (final: %v) and was applied %d times", seed, name, r, final, f.items[name])
				}
			}
			_, maxInFlight := f.log.counts()
			f.is.Equal(maxInFlight, 1)
		})
	}
}
