package entry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/writer"
)

// claimsTick is how often the ownership machine is told the time.
const claimsTick = 100 * time.Millisecond

// claimsQueue bounds the events that wait for the ownership machine.
const claimsQueue = 1024

// claimsHandler receives the machine's actions that are not appends. Its
// methods are called by the runner's goroutine and must not block.
type claimsHandler interface {
	askPromises(a ownership.AskPromises)
	cellChanged(v ownership.View)
	drainCell(cell int)
	left()
	// offerRenewal returns the members that hold full copies of the request
	// tables, for the renewal with this number.
	offerRenewal(number uint64) []string
	renewalRecorded(number uint64)
}

// claimsRunner runs the ownership machine of this VM's data centre. Its
// goroutine is the only one that touches the machine.
type claimsRunner struct {
	config   ownership.Config
	machine  *ownership.Machine
	trace    tracedMachine
	writer   *writer.Writer
	handler  claimsHandler
	events   chan ownership.Event
	answers  chan promiseQuestion
	log      *logevent.Logger
	clock    Clock
	follower *follower
	filter   record.Filter
	ctx      context.Context
	// readAt is when the last successful read of the stream was sent.
	readAt atomic.Int64
	views  atomic.Pointer[[]ownership.View]
	// synced holds the members named by the last renewal of each owner that
	// was read, by owner. Only the runner's goroutine uses it.
	synced map[member][]string
}

// promiseQuestion is a peer's question together with where the answer goes.
type promiseQuestion struct {
	event  ownership.PromiseAsked
	answer chan ownership.AnswerPromise
}

func newClaimsRunner(ctx context.Context, config ownership.Config, log hostapi.Log, w *writer.Writer, handler claimsHandler, events *logevent.Logger, clock Clock, poll time.Duration) *claimsRunner {
	r := &claimsRunner{
		config:  config,
		machine: ownership.New(config),
		writer:  w,
		handler: handler,
		events:  make(chan ownership.Event, claimsQueue),
		answers: make(chan promiseQuestion),
		log:     events,
		clock:   clock,
		ctx:     ctx,
		synced:  make(map[member][]string),
	}
	r.follower = &follower{
		log:         log,
		stream:      record.ClaimsStream(config.DataCentre),
		clock:       clock,
		poll:        poll,
		wake:        make(chan struct{}, 1),
		apply:       r.applyPage,
		onTruncated: func(page hostapi.LogPage) int64 { return page.First },
		onError:     func(error) {},
	}
	r.publish()
	return r
}

// send queues an event. It blocks while the queue is full.
func (r *claimsRunner) send(ev ownership.Event) {
	select {
	case r.events <- ev:
	case <-r.ctx.Done():
	}
}

// ask puts a peer's question to the machine and waits for its answer.
func (r *claimsRunner) ask(ctx context.Context, ev ownership.PromiseAsked) (ownership.AnswerPromise, error) {
	q := promiseQuestion{event: ev, answer: make(chan ownership.AnswerPromise, 1)}
	select {
	case r.answers <- q:
	case <-ctx.Done():
		return ownership.AnswerPromise{}, ctx.Err()
	}
	select {
	case a := <-q.answer:
		return a, nil
	case <-ctx.Done():
		return ownership.AnswerPromise{}, ctx.Err()
	}
}

// Views returns the newest view of each cell, by cell.
func (r *claimsRunner) Views() []ownership.View {
	return *r.views.Load()
}

// run drives the machine until the context ends.
func (r *claimsRunner) run() {
	go r.follower.run(r.ctx)
	ticker := time.NewTicker(claimsTick)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.step(ownership.Tick{})
		case ev := <-r.events:
			r.step(ev)
		case q := <-r.answers:
			r.stepQuestion(q)
		}
	}
}

// stepMachine steps the machine and records the event.
func (r *claimsRunner) stepMachine(ev ownership.Event) []ownership.Action {
	now := r.clock()
	r.trace.event(now, ev)
	return r.machine.Step(now, ev)
}

func (r *claimsRunner) step(ev ownership.Event) {
	actions := r.stepMachine(ev)
	r.publish()
	for _, action := range actions {
		r.execute(action)
	}
	if applied, ok := ev.(ownership.Applied); ok {
		r.noteRenewal(applied.Record.GetRenew())
	}
}

// noteRenewal keeps the synced set of each owner. It follows the step, so that
// a claim is judged by the renewals before it.
func (r *claimsRunner) noteRenewal(renew *recordpb.Renew) {
	if renew == nil {
		return
	}
	r.synced[member{vm: renew.Vm, incarnation: renew.Incarnation}] = renew.Synced
	if renew.Vm == r.config.VM && renew.Incarnation == r.config.Incarnation {
		r.handler.renewalRecorded(renew.Number)
	}
}

// stepQuestion steps the machine with a peer's question and hands the answer
// back. A machine that gives none grants nothing.
func (r *claimsRunner) stepQuestion(q promiseQuestion) {
	answer := ownership.AnswerPromise{To: q.event.From, Number: q.event.Number}
	for _, action := range r.stepMachine(q.event) {
		if a, ok := action.(ownership.AnswerPromise); ok {
			answer = a
			continue
		}
		r.execute(action)
	}
	q.answer <- answer
	r.publish()
}

func (r *claimsRunner) execute(action ownership.Action) {
	switch a := action.(type) {
	case ownership.Append:
		r.append(a)
	case ownership.AskPromises:
		r.handler.askPromises(a)
	case ownership.CellChanged:
		r.handler.cellChanged(a.View)
	case ownership.Drain:
		r.handler.drainCell(a.Cell)
	case ownership.StopCompleted:
		r.handler.left()
	}
}

func (r *claimsRunner) append(a ownership.Append) {
	if renew := a.Record.GetRenew(); renew != nil {
		renew.Synced = r.handler.offerRenewal(renew.Number)
	}
	item, err := record.Encode(a.Record)
	if err == nil {
		_, err = r.writer.Submit(item)
	}
	if err != nil {
		r.log.Log(logevent.AppendUnresolved, zap.String("stream", r.follower.stream), zap.Error(err))
	}
}

func (r *claimsRunner) publish() {
	now := r.clock()
	views := make([]ownership.View, r.config.Cells)
	for cell := range views {
		views[cell] = r.machine.View(now, cell)
	}
	r.views.Store(&views)
}

// applyPage is called by the follower's goroutine.
func (r *claimsRunner) applyPage(page hostapi.LogPage, sentAt time.Duration) {
	for _, logged := range page.Records {
		r.applyRecord(logged)
	}
	if n := len(page.Records); n == 0 || page.Records[n-1].Offset+1 == page.Next {
		// Only a read that reached the head shows what is newest.
		r.readAt.Store(int64(sentAt))
	}
}

// applyRecord passes a record on. The writer of this stream puts one item in
// a record, because the ownership machine orders records by offset.
func (r *claimsRunner) applyRecord(logged hostapi.LogRecord) {
	defer r.writer.Observed(logged.ID, logged.Offset)
	id, err := record.ParseID(logged.ID)
	if err != nil || !r.filter.Accept(id, logged.Offset) {
		return
	}
	batch, err := record.DecodeBatch(logged.Data)
	if err != nil {
		r.log.Log(logevent.RecordUndecodable, zap.String("stream", r.follower.stream), zap.Int64("offset", logged.Offset), zap.Error(err))
		return
	}
	for _, one := range batch {
		r.send(ownership.Applied{Offset: logged.Offset, Record: one})
	}
}
