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
	// placementInterval is the interval between two rounds of placement.
	placementInterval = 200 * time.Millisecond
	// controlInterval is the interval between two looks at running attempts.
	controlInterval = time.Second
	// tasksPerPublishTick is the number of tasks up to which a cell's picture is made
	// at every tick. A larger cell makes it less often in proportion, because
	// each copy takes time in proportion to the tasks: 1,300 tasks at every
	// tick took more than twice the 1.6% of a core that control may use.
	tasksPerPublishTick = 200
	// checkpointInterval is the interval of periodic checkpoints of a batch
	// attempt. 180,000 running tasks make 600 checkpoint records per second at
	// 5 minutes, spread over about 110 writers.
	checkpointInterval = 5 * time.Minute
)

// Limits of a cell's runner.
const (
	// cellQueueLength bounds the messages that wait for the runner.
	cellQueueLength = 4096
	// maxCommandsInFlight bounds the commands to workers of one cell.
	maxCommandsInFlight = 128
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

	messages     chan cellMessage
	follower     *follower
	gap          gapBuffer
	commandSlots chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc

	ownership      ownership.View
	term           int64
	startUntil     time.Duration
	claimsReadAt   time.Duration
	placingAllowed bool
	declaredOffset int64
	appliedWork    map[string]appliedVersion
	workerList     *workerList
	leavingServers map[string]string

	observations    map[string]*workerObservation
	placed          map[hostapi.AttemptID]placement
	lastUsageAt     map[hostapi.AttemptID]time.Duration
	runningAttempts map[hostapi.AttemptID]runningAttempt
	pendingSince    map[string]time.Duration
	pendingReasons  map[string]string
	// loggedParked holds the jobs that were logged as loggedParked.
	loggedParked         map[string]bool
	lastPlacementRoundAt time.Duration
	offline              bool
	// lastSnapshotAt is when the last whole snapshot of the stream was read, or a
	// snapshot was last written.
	lastSnapshotAt     time.Duration
	lastControlRoundAt time.Duration
	// publishedAt is when the picture was last made, of publishedTasks tasks.
	publishedAt      time.Duration
	publishedTasks   int
	throttleShares   map[hostapi.AttemptID]float64
	lastCheckpointAt map[hostapi.AttemptID]time.Duration

	currentView atomic.Pointer[cellView]
}

// appliedVersion is work as it was last passed to the machine.
type appliedVersion struct {
	version api.Version
	work    tasks.Work
}

// runningAttempt is when an attempt was first seen running here.
type runningAttempt struct {
	since  time.Duration
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
		cell:             o.cell,
		config:           o.config,
		machine:          tasks.New(o.config),
		policy:           scheduler.New(scheduler.DefaultConfig(), scheduler.NewLearnedState(), random),
		host:             o.host,
		writer:           o.writer,
		log:              o.events,
		clock:            o.clock,
		messages:         make(chan cellMessage, cellQueueLength),
		commandSlots:     make(chan struct{}, maxCommandsInFlight),
		appliedWork:      make(map[string]appliedVersion),
		observations:     make(map[string]*workerObservation),
		placed:           make(map[hostapi.AttemptID]placement),
		lastUsageAt:      make(map[hostapi.AttemptID]time.Duration),
		runningAttempts:  make(map[hostapi.AttemptID]runningAttempt),
		pendingSince:     make(map[string]time.Duration),
		pendingReasons:   make(map[string]string),
		loggedParked:     make(map[string]bool),
		throttleShares:   make(map[hostapi.AttemptID]float64),
		lastCheckpointAt: make(map[hostapi.AttemptID]time.Duration),
	}
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.follower = r.newFollower(o.log, o.poll)
	r.currentView.Store(&cellView{cell: o.cell.Index})
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
		truncated: func(page hostapi.LogPage) int64 {
			r.send(cellMessage{truncatedAt: page.First})
			return page.First
		},
		failed: func(error) {},
	}
}

// send queues a message for the runner.
func (r *cellRunner) send(m cellMessage) {
	select {
	case r.messages <- m:
	case <-r.ctx.Done():
	}
}

// sendEvent queues an sendEvent of the task machine.
func (r *cellRunner) sendEvent(ev tasks.Event) {
	r.send(cellMessage{event: ev})
}

// view returns the newest picture of the cell.
func (r *cellRunner) view() *cellView {
	return r.currentView.Load()
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
			r.handleMessage(m)
		}
	}
}

// tick lets time pass in the machine and in the policy.
func (r *cellRunner) tick() {
	r.refreshAuthority()
	r.refreshDeclaredWork()
	r.step(tasks.Tick{})
	now := r.clock()
	r.logOfflineLimit(now)
	r.appendSnapshotIfDue(now)
	if now-r.lastPlacementRoundAt >= placementInterval {
		r.lastPlacementRoundAt = now
		r.runPlacementRound(now)
	}
	if now-r.lastControlRoundAt >= controlInterval {
		r.lastControlRoundAt = now
		r.runControlRound(now)
	}
	if r.publishDue(now) {
		r.publish(now)
	}
}

func (r *cellRunner) handleMessage(m cellMessage) {
	switch {
	case m.event != nil:
		r.step(m.event)
	case m.answer != nil:
		r.handleAnswer(m.answer)
	case m.page != nil:
		r.applyPage(m.page)
	case m.truncatedAt > 0:
		r.gap.reset()
	case m.ownership != nil:
		r.handleOwnership(*m.ownership)
	}
}

// handleOwnership passes on a change of the cell's ownership.
func (r *cellRunner) handleOwnership(v ownership.View) {
	before := r.ownership
	r.ownership = v
	switch v.OwnState {
	case ownership.StateNone, ownership.StateLost:
		if before.OwnState != v.OwnState {
			r.step(tasks.Disowned{})
		}
	default:
		r.takeOver(before, v)
	}
	r.updateAuthority()
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
	fresh, read := r.host.startUntil(), r.host.claimsReadAt()
	if fresh == r.startUntil && read == r.claimsReadAt {
		return
	}
	r.startUntil, r.claimsReadAt = fresh, read
	r.updateAuthority()
}

func (r *cellRunner) updateAuthority() {
	r.step(tasks.AuthorityChanged{
		PlaceUntil: r.placeUntil(),
		RenewUntil: r.claimsReadAt + r.config.OfflineLimit,
	})
}

// logOfflineLimit logs once when task leases are no longer renewed because the
// log was away for too long.
func (r *cellRunner) logOfflineLimit(now time.Duration) {
	offline := r.claimsReadAt > 0 && now >= r.claimsReadAt+r.config.OfflineLimit
	if offline && !r.offline {
		r.log.Log(logevent.OfflineLimitReached, zap.Int("cell", r.cell.Index))
	}
	r.offline = offline
}

// placeUntil returns the end of the authority to start tasks: the earlier of
// the lease and of freshness.
func (r *cellRunner) placeUntil() time.Duration {
	return min(r.ownership.PlaceUntil, r.startUntil)
}

// step passes an event to the machine and carries out its actions.
func (r *cellRunner) step(ev tasks.Event) {
	now := r.clock()
	r.trace.event(now, ev)
	for _, action := range r.machine.Step(now, ev) {
		r.execute(action)
	}
}
