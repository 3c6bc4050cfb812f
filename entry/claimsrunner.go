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

// claimsTick is the interval at which the ownership machine receives a Tick.
const claimsTick = 100 * time.Millisecond

// claimsQueueLength bounds the events queued for the ownership machine.
const claimsQueueLength = 1024

// claimsHandler carries out the machine's actions other than appends. Its
// methods are called by the runner's goroutine and must not block.
type claimsHandler interface {
	askPromises(a ownership.AskPromises)
	cellChanged(v ownership.View)
	drainCell(cell int)
	stopCompleted()
	// offerRenewal returns the members that hold full copies of the request
	// tables, for the renewal with this number.
	offerRenewal(number uint64) []string
	// renewalRecorded reports that this process's renewal with this number was
	// read back.
	renewalRecorded(number uint64)
}

// claimsRunner runs the ownership machine for the cells of one data centre.
// Only its own goroutine accesses the machine.
type claimsRunner struct {
	config          ownership.Config
	machine         *ownership.Machine
	trace           tracedMachine
	writer          *writer.Writer
	handler         claimsHandler
	events          chan ownership.Event
	promiseRequests chan promiseRequest
	log             *logevent.Logger
	clock           Clock
	follower        *follower
	filter          record.Filter
	ctx             context.Context
	// readAt is when the last successful read up to the head of the stream was
	// sent, on the local clock.
	readAt atomic.Int64
	views  atomic.Pointer[[]ownership.View]
	// syncedMembers holds the members that each owner's last applied renewal
	// names, by owner. Only the runner's goroutine uses it.
	syncedMembers map[member][]string
}

// promiseRequest is a peer's request and the channel for its answer.
type promiseRequest struct {
	event  ownership.PromiseAsked
	answer chan ownership.AnswerPromise
}

func newClaimsRunner(ctx context.Context, config ownership.Config, log hostapi.Log, w *writer.Writer, handler claimsHandler, events *logevent.Logger, clock Clock, poll time.Duration) *claimsRunner {
	r := &claimsRunner{
		config:          config,
		machine:         ownership.New(config),
		writer:          w,
		handler:         handler,
		events:          make(chan ownership.Event, claimsQueueLength),
		promiseRequests: make(chan promiseRequest),
		log:             events,
		clock:           clock,
		ctx:             ctx,
		syncedMembers:   make(map[member][]string),
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

// answerPromiseRequest passes a peer's request to the machine and waits for the
// answer. It returns the error of ctx if that ends first.
func (r *claimsRunner) answerPromiseRequest(ctx context.Context, ev ownership.PromiseAsked) (ownership.AnswerPromise, error) {
	request := promiseRequest{event: ev, answer: make(chan ownership.AnswerPromise, 1)}
	select {
	case r.promiseRequests <- request:
	case <-ctx.Done():
		return ownership.AnswerPromise{}, ctx.Err()
	}
	select {
	case a := <-request.answer:
		return a, nil
	case <-ctx.Done():
		return ownership.AnswerPromise{}, ctx.Err()
	}
}

// Views returns the newest view of each cell, by cell.
func (r *claimsRunner) Views() []ownership.View {
	return *r.views.Load()
}

// run processes events and ticks until the context ends.
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
		case request := <-r.promiseRequests:
			r.handlePromiseRequest(request)
		}
	}
}

// stepMachine records the event in the trace and steps the machine.
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
		r.trackRenewal(applied.Record.GetRenew())
	}
}

// trackRenewal stores the synced members of each owner. It is called after the
// step, so that a claim is evaluated against the renewals before it.
func (r *claimsRunner) trackRenewal(renew *recordpb.Renew) {
	if renew == nil {
		return
	}
	r.syncedMembers[member{vm: renew.Vm, incarnation: renew.Incarnation}] = renew.Synced
	if renew.Vm == r.config.VM && renew.Incarnation == r.config.Incarnation {
		r.handler.renewalRecorded(renew.Number)
	}
}

// handlePromiseRequest steps the machine with a peer's request and returns the
// answer. If the machine gives none, nothing is granted.
func (r *claimsRunner) handlePromiseRequest(request promiseRequest) {
	answer := ownership.AnswerPromise{To: request.event.From, Number: request.event.Number}
	for _, action := range r.stepMachine(request.event) {
		if a, ok := action.(ownership.AnswerPromise); ok {
			answer = a
			continue
		}
		r.execute(action)
	}
	request.answer <- answer
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
		r.handler.stopCompleted()
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
		r.log.Log(logevent.RecordNotQueued, zap.String("stream", r.follower.stream), zap.Error(err))
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
	for _, logRecord := range page.Records {
		r.applyRecord(logRecord)
	}
	if n := len(page.Records); n == 0 || page.Records[n-1].Offset+1 == page.Next {
		// Only a read that reached the head shows that nothing newer exists.
		r.readAt.Store(int64(sentAt))
	}
}

// applyRecord queues a record for the machine. The writer of this stream puts
// one item in a log record, because the ownership machine orders records by
// offset.
func (r *claimsRunner) applyRecord(logRecord hostapi.LogRecord) {
	defer r.writer.Observed(logRecord.ID, logRecord.Offset)
	id, err := record.ParseID(logRecord.ID)
	if err != nil || !r.filter.Accept(id, logRecord.Offset) {
		return
	}
	batch, err := record.DecodeBatch(logRecord.Data)
	if err != nil {
		r.log.Log(logevent.RecordUndecodable, zap.String("stream", r.follower.stream), zap.Int64("offset", logRecord.Offset), zap.Error(err))
		return
	}
	for _, rec := range batch {
		r.send(ownership.Applied{Offset: logRecord.Offset, Record: rec})
	}
}
