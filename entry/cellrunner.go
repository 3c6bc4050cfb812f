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
	// cellTick is the interval at which the task machine receives a Tick.
	cellTick = 100 * time.Millisecond
	// placementInterval is the interval between two placement rounds.
	placementInterval = 200 * time.Millisecond
	// controlInterval is the interval at which the policy acts on running
	// attempts.
	controlInterval = time.Second
	// tasksPerPublishTick is the number of tasks up to which the view of a cell
	// is published at every tick. Larger cells publish less often in
	// proportion, because copying a view takes time in proportion to the tasks:
	// with 1,300 tasks, publishing at every tick took more than twice the 1.6%
	// of a core that control may use.
	tasksPerPublishTick = 200
	// checkpointInterval is the interval of periodic checkpoints of a batch
	// attempt. At 5 minutes, 180,000 running tasks make 600 checkpoint records
	// per second, spread over about 110 writers.
	checkpointInterval = 5 * time.Minute
)

// Limits of a cell's runner.
const (
	// cellQueueLength bounds the messages queued for the runner.
	cellQueueLength = 4096
	// maxCommandsInFlight bounds the concurrent commands to the workers of one
	// cell.
	maxCommandsInFlight = 128
)

// cellRunner runs the task machine and the policy of one cell. Only its own
// goroutine accesses them.
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
	// commandSlots holds one element per command in flight.
	commandSlots chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc

	// ownership is the newest ownership view of the cell; term is the term that
	// the machine was given.
	ownership ownership.View
	term      int64
	// startUntil and claimsReadAt are the values of the host that the machine's
	// authority was last derived from.
	startUntil   time.Duration
	claimsReadAt time.Duration
	// placingAllowed is the value last passed to the machine with PlacingChanged.
	placingAllowed bool
	// declaredOffset is the offset of the declared work that was last passed to
	// the machine; appliedWork holds that work by job key.
	declaredOffset int64
	appliedWork    map[string]appliedVersion
	vmList         *vmList
	leavingServers map[string]string

	// observations holds the newest observation of each worker.
	observations map[string]*workerObservation
	// placed holds the placements of this term whose end has not been read.
	placed map[hostapi.AttemptID]placement
	// lastUsageAt is the measurement time of the last usage report that was
	// passed to the policy.
	lastUsageAt     map[hostapi.AttemptID]time.Duration
	runningAttempts map[hostapi.AttemptID]runningAttempt
	// pendingSince is when a task was first seen pending.
	pendingSince map[string]time.Duration
	// pendingReasons holds why tasks are pending, by task id.
	pendingReasons map[string]string
	// loggedParked holds the jobs that were logged as parked.
	loggedParked         map[string]bool
	lastPlacementRoundAt time.Duration
	// offline is set while the offline limit is exceeded.
	offline bool
	// lastSnapshotAt is when the last complete snapshot of the stream was read,
	// or when this runner last appended one.
	lastSnapshotAt     time.Duration
	lastControlRoundAt time.Duration
	// publishedAt is when the view was last published; publishedTasks is its
	// number of tasks.
	publishedAt    time.Duration
	publishedTasks int
	// throttleShares holds the processor shares last set, by attempt.
	throttleShares map[hostapi.AttemptID]float64
	// lastCheckpointAt is when a checkpoint was last requested, by attempt.
	lastCheckpointAt map[hostapi.AttemptID]time.Duration

	currentView atomic.Pointer[cellView]
}

// appliedVersion is work as it was last passed to the machine.
type appliedVersion struct {
	version api.Version
	work    tasks.Work
}

// runningAttempt records since when this runner has seen an attempt running.
type runningAttempt struct {
	since  time.Duration
	worker string
}

// cellOptions holds the parameters of newCellRunner.
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

// newCellRunner returns a cell runner. The caller starts its run method, which
// returns when ctx ends or cancel is called.
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
		onTruncated: func(page hostapi.LogPage) int64 {
			r.send(cellMessage{truncatedAt: page.First})
			return page.First
		},
		onError: func(error) {},
	}
}

// send queues a message for the runner. It blocks while the queue is full.
func (r *cellRunner) send(m cellMessage) {
	select {
	case r.messages <- m:
	case <-r.ctx.Done():
	}
}

// sendEvent queues an event of the task machine.
func (r *cellRunner) sendEvent(ev tasks.Event) {
	r.send(cellMessage{event: ev})
}

// view returns the last published view of the cell.
func (r *cellRunner) view() *cellView {
	return r.currentView.Load()
}

// run processes messages and ticks until the context ends.
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

// tick advances the time of the machine and runs what is due.
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

// handleOwnership passes a change of the cell's ownership to the machine.
func (r *cellRunner) handleOwnership(v ownership.View) {
	previous := r.ownership
	r.ownership = v
	switch v.OwnState {
	case ownership.StateNone, ownership.StateLost:
		if previous.OwnState != v.OwnState {
			r.step(tasks.Disowned{})
		}
	default:
		r.takeOver(previous, v)
	}
	r.updateAuthority()
}

// takeOver reports a new term to the machine, or a change in the number of
// former owners that may still renew task leases.
func (r *cellRunner) takeOver(previous, v ownership.View) {
	if v.OwnTerm != r.term {
		r.term = v.OwnTerm
		r.step(tasks.Owned{Term: v.OwnTerm, Rescue: v.OwnState == ownership.StateRescue, Predecessors: v.Renewers})
		return
	}
	if previous.Renewers != v.Renewers {
		r.step(tasks.PredecessorsChanged{Count: v.Renewers})
	}
}

// refreshAuthority updates the authority of the machine when the end of
// freshness or of the offline limit has moved.
func (r *cellRunner) refreshAuthority() {
	startUntil, claimsReadAt := r.host.startUntil(), r.host.claimsReadAt()
	if startUntil == r.startUntil && claimsReadAt == r.claimsReadAt {
		return
	}
	r.startUntil, r.claimsReadAt = startUntil, claimsReadAt
	r.updateAuthority()
}

func (r *cellRunner) updateAuthority() {
	r.step(tasks.AuthorityChanged{
		PlaceUntil: r.placeUntil(),
		RenewUntil: r.claimsReadAt + r.config.OfflineLimit,
	})
}

// logOfflineLimit logs, once per outage, that task leases are no longer renewed
// because the log has been unreachable for the offline limit.
func (r *cellRunner) logOfflineLimit(now time.Duration) {
	offline := r.claimsReadAt > 0 && now >= r.claimsReadAt+r.config.OfflineLimit
	if offline && !r.offline {
		r.log.Log(logevent.OfflineLimitReached, zap.Int("cell", r.cell.Index))
	}
	r.offline = offline
}

// placeUntil returns the end of the authority to place tasks: the earlier of the
// end that ownership gives and the end of the start authority.
func (r *cellRunner) placeUntil() time.Duration {
	return min(r.ownership.PlaceUntil, r.startUntil)
}

// step passes an event to the machine and carries out the resulting actions.
func (r *cellRunner) step(ev tasks.Event) {
	now := r.clock()
	r.trace.event(now, ev)
	for _, action := range r.machine.Step(now, ev) {
		r.execute(action)
	}
}
