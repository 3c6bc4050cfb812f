package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/scheduler"
	"github.com/cactusreel/cactusreel/tasks"
	"github.com/cactusreel/cactusreel/writer"
)

// Times of a cell's runner.
const (
	// cellTick is how often the task machine is told the time.
	cellTick = 100 * time.Millisecond
	// planEvery is the interval between two rounds of placement.
	planEvery = 200 * time.Millisecond
	// actEvery is the interval between two looks at running attempts.
	actEvery = time.Second
	// publishTasks is the number of tasks up to which a cell's picture is made
	// at every tick. A larger cell makes it less often in proportion, because
	// each copy takes time in proportion to the tasks: 1,300 tasks at every
	// tick took more than twice the 1.6% of a core that control may use.
	publishTasks = 200
	// checkpointEvery is the interval of periodic checkpoints of a batch
	// attempt. 180,000 running tasks make 600 checkpoint records per second at
	// 5 minutes, spread over about 110 writers.
	checkpointEvery = 5 * time.Minute
)

// Limits of a cell's runner.
const (
	// cellQueue bounds the messages that wait for the runner.
	cellQueue = 4096
	// commandsInFlight bounds the commands to workers of one cell.
	commandsInFlight = 128
)

// cellRunner runs the task machine and the policy of one cell. Its goroutine
// is the only one that touches them.
type cellRunner struct {
	cell    scheduler.CellID
	config  tasks.Config
	machine *tasks.Machine
	trace   tracedMachine
	policy  *scheduler.Policy
	host    cellHost
	writer  *writer.Writer
	log     *logevent.Logger
	clock   Clock

	messages chan cellMessage
	follower *follower
	gap      gapBuffer
	commands chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc

	own        ownership.View
	term       int64
	freshUntil time.Duration
	readClaims time.Duration
	placing    bool
	declaredAt int64
	declared   map[string]declaredVersion
	listed     *workerList
	leaving    map[string]string

	workers   map[string]*observed
	placed    map[hostapi.AttemptID]placement
	usageSeen map[hostapi.AttemptID]time.Duration
	starts    map[hostapi.AttemptID]startMark
	pending   map[string]time.Duration
	reasons   map[string]string
	// parked holds the jobs that were logged as parked.
	parked    map[string]bool
	plannedAt time.Duration
	offline   bool
	// snapshotAt is when the last whole snapshot of the stream was read, or a
	// snapshot was last written.
	snapshotAt time.Duration
	actedAt    time.Duration
	// publishedAt is when the picture was last made, of publishedTasks tasks.
	publishedAt    time.Duration
	publishedTasks int
	throttled      map[hostapi.AttemptID]float64
	checkpoint     map[hostapi.AttemptID]time.Duration

	current atomic.Pointer[cellView]
}

// declaredVersion is work as it was last passed to the machine.
type declaredVersion struct {
	version api.Version
	work    tasks.Work
}

// startMark is when an attempt was first seen running here.
type startMark struct {
	at     time.Duration
	worker string
}

// cellOptions is what a runner is made of.
type cellOptions struct {
	cell   scheduler.CellID
	config tasks.Config
	host   cellHost
	log    hostapi.Log
	writer *writer.Writer
	events *logevent.Logger
	clock  Clock
	// poll is the interval between reads of the task stream.
	poll time.Duration
}

// newCellRunner returns a runner that run drives until ctx ends or cancel is
// called.
func newCellRunner(ctx context.Context, o cellOptions) *cellRunner {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r := &cellRunner{
		cell:       o.cell,
		config:     o.config,
		machine:    tasks.New(o.config),
		policy:     scheduler.New(scheduler.DefaultConfig(), scheduler.NewLearnedState(), random),
		host:       o.host,
		writer:     o.writer,
		log:        o.events,
		clock:      o.clock,
		messages:   make(chan cellMessage, cellQueue),
		commands:   make(chan struct{}, commandsInFlight),
		declared:   make(map[string]declaredVersion),
		workers:    make(map[string]*observed),
		placed:     make(map[hostapi.AttemptID]placement),
		usageSeen:  make(map[hostapi.AttemptID]time.Duration),
		starts:     make(map[hostapi.AttemptID]startMark),
		pending:    make(map[string]time.Duration),
		reasons:    make(map[string]string),
		parked:     make(map[string]bool),
		throttled:  make(map[hostapi.AttemptID]float64),
		checkpoint: make(map[hostapi.AttemptID]time.Duration),
	}
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.follower = r.newFollower(o.log, o.poll)
	r.current.Store(&cellView{cell: o.cell.Index})
	return r
}

func (r *cellRunner) newFollower(log hostapi.Log, poll time.Duration) *follower {
	return &follower{
		log:    log,
		stream: record.TasksStream(r.cell.DataCentre, r.cell.Index),
		clock:  r.clock,
		poll:   poll,
		wake:   make(chan struct{}, 1),
		apply: func(page hostapi.LogPage, _ time.Duration) {
			if len(page.Records) > 0 {
				r.send(cellMessage{page: page.Records})
			}
		},
		onTruncated: func(page hostapi.LogPage) int64 {
			r.send(cellMessage{truncatedAt: page.First})
			return page.First
		},
		onError: func(error) {},
	}
}

// send queues a message for the runner.
func (r *cellRunner) send(m cellMessage) {
	select {
	case r.messages <- m:
	case <-r.ctx.Done():
	}
}

// event queues an event of the task machine.
func (r *cellRunner) event(ev tasks.Event) {
	r.send(cellMessage{event: ev})
}

// view returns the newest picture of the cell.
func (r *cellRunner) view() *cellView {
	return r.current.Load()
}

// run drives the cell until the context ends.
func (r *cellRunner) run() {
	go r.follower.run(r.ctx)
	ticker := time.NewTicker(cellTick)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.tick()
		case m := <-r.messages:
			r.handle(m)
		}
	}
}

// tick lets time pass in the machine and in the policy.
func (r *cellRunner) tick() {
	r.refreshAuthority()
	r.refreshDeclared()
	r.step(tasks.Tick{})
	now := r.clock()
	r.noteOffline(now)
	r.renewSnapshot(now)
	if now-r.plannedAt >= planEvery {
		r.plannedAt = now
		r.plan(now)
	}
	if now-r.actedAt >= actEvery {
		r.actedAt = now
		r.act(now)
	}
	if r.publishDue(now) {
		r.publish(now)
	}
}

func (r *cellRunner) handle(m cellMessage) {
	switch {
	case m.event != nil:
		r.step(m.event)
	case m.answer != nil:
		r.handleAnswer(m.answer)
	case m.page != nil:
		r.applyPage(m.page)
	case m.truncatedAt > 0:
		r.gap.reset()
	case m.view != nil:
		r.handleOwnership(*m.view)
	}
}

// handleOwnership passes on a change of the cell's ownership.
func (r *cellRunner) handleOwnership(v ownership.View) {
	before := r.own
	r.own = v
	switch v.OwnState {
	case ownership.StateNone, ownership.StateLost:
		if before.OwnState != v.OwnState {
			r.step(tasks.Disowned{})
		}
	default:
		r.takeOver(before, v)
	}
	r.sendAuthority()
}

func (r *cellRunner) takeOver(before, v ownership.View) {
	if v.OwnTerm != r.term {
		r.term = v.OwnTerm
		r.step(tasks.Owned{Term: v.OwnTerm, Rescue: v.OwnState == ownership.StateRescue, Predecessors: v.Renewers})
		return
	}
	if before.Renewers != v.Renewers {
		r.step(tasks.PredecessorsChanged{Count: v.Renewers})
	}
}

// refreshAuthority follows the ends of freshness and of the offline limit.
func (r *cellRunner) refreshAuthority() {
	fresh, read := r.host.startsUntil(), r.host.claimsReadAt()
	if fresh == r.freshUntil && read == r.readClaims {
		return
	}
	r.freshUntil, r.readClaims = fresh, read
	r.sendAuthority()
}

func (r *cellRunner) sendAuthority() {
	r.step(tasks.AuthorityChanged{
		PlaceUntil: r.placeUntil(),
		RenewUntil: r.readClaims + r.config.OfflineLimit,
	})
}

// noteOffline logs once when task leases are no longer renewed because the
// log was away for too long.
func (r *cellRunner) noteOffline(now time.Duration) {
	offline := r.readClaims > 0 && now >= r.readClaims+r.config.OfflineLimit
	if offline && !r.offline {
		r.log.Log(logevent.OfflineLimitReached, zap.Int("cell", r.cell.Index))
	}
	r.offline = offline
}

// placeUntil returns the end of the authority to start tasks: the earlier of
// the lease and of freshness.
func (r *cellRunner) placeUntil() time.Duration {
	return min(r.own.PlaceUntil, r.freshUntil)
}

// step passes an event to the machine and carries out its actions.
func (r *cellRunner) step(ev tasks.Event) {
	now := r.clock()
	r.trace.event(now, ev)
	for _, action := range r.machine.Step(now, ev) {
		r.execute(action)
	}
}
