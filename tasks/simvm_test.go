package tasks_test

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/freshness"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/tasks"
)

// simVM is an entry VM. It connects the machines as the daemon does, in virtual
// time.
type simVM struct {
	number           int
	name             string
	rate             float64
	startedAt        time.Duration
	incarnation      uint64
	alive            bool
	restartAt        time.Duration
	pausedUntil      time.Duration
	partitionedUntil time.Duration
	ownership        *ownership.Machine
	freshness        *freshness.Machine
	cells            map[int]*simCell
	nextReadAt       time.Duration
	logSeenAt        time.Duration
	claimsRead       int
	resourcesRead    int
	writers          map[string]*simWriter
}

// simCell is the task machine of a cell that a VM owns.
type simCell struct {
	machine     *tasks.Machine
	term        int64
	batchesRead int
}

// simWriter appends to one stream, one batch at a time.
type simWriter struct {
	queue    []*recordpb.Record
	inFlight simBatch
	sequence uint64
	retryAt  time.Duration
}

type simBatch struct {
	id      record.ID
	records []*recordpb.Record
}

func (s *sim) startVM(vm *simVM) {
	s.lastIncarnation++
	incarnation := s.lastIncarnation
	config := ownership.DefaultConfig(vm.name, "giza", incarnation, simCells)
	config.Unsafe = s.unsafeOwnership
	*vm = simVM{
		number: vm.number, name: vm.name, rate: vm.rate, partitionedUntil: vm.partitionedUntil, startedAt: s.now, incarnation: incarnation, alive: true,
		ownership: ownership.New(config),
		freshness: freshness.New(freshness.DefaultConfig()),
		cells:     make(map[int]*simCell),
		writers:   make(map[string]*simWriter),
	}
}

// simCopyTime is the time from a VM's start until it holds copies of the request tables.
const simCopyTime = 800 * time.Millisecond

// membersWithCopies returns the other members that have run for long enough to hold copies.
func (s *sim) membersWithCopies(of *simVM) []string {
	var names []string
	for _, vm := range s.vms {
		if vm != of && vm.alive && s.now-vm.startedAt >= simCopyTime {
			names = append(names, record.MemberName(vm.name, vm.incarnation))
		}
	}
	return names
}

func (vm *simVM) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-vm.startedAt) * vm.rate)
}

func (s *sim) logReachable(vm *simVM) bool {
	return s.now >= vm.partitionedUntil && s.now >= s.logDownUntil
}

func (s *sim) runVM(vm *simVM) {
	if !vm.alive {
		if s.now >= vm.restartAt {
			s.startVM(vm)
		}
		return
	}
	if vm.pausedUntil > s.now {
		return
	}
	s.readLog(vm)
	for _, name := range s.streamNames() {
		s.writeStream(vm, name)
	}
	if s.now%(2*time.Second) == 0 {
		s.stepOwnership(vm, ownership.VMsListed{VMs: s.vmNames})
	}
	s.stepOwnership(vm, ownership.Tick{})
	for cell := range simCells {
		if c := vm.cells[cell]; c != nil {
			s.runCell(vm, cell, c)
		}
	}
}

func (s *sim) readLog(vm *simVM) {
	if s.now < vm.nextReadAt || !s.logReachable(vm) {
		return
	}
	if !s.plan.Fast {
		vm.nextReadAt = s.now + s.randomDelay(250*time.Millisecond)
	}
	now := vm.clock(s.now)
	vm.logSeenAt = now
	vm.freshness.Step(now, freshness.DirectRead{SentAt: now, Head: int64(len(s.resourceEvents))})
	for ; vm.resourcesRead < len(s.resourceEvents); vm.resourcesRead++ {
		s.applyResource(vm, s.resourceEvents[vm.resourcesRead])
	}
	vm.freshness.Step(now, freshness.Applied{Offset: int64(vm.resourcesRead)})
	claims := s.streams["claims"]
	for ; vm.claimsRead < len(claims) && vm.alive; vm.claimsRead++ {
		s.confirmBatch(vm, "claims", claims[vm.claimsRead])
		s.stepOwnership(vm, ownership.Applied{Offset: int64(vm.claimsRead + 1), Record: claims[vm.claimsRead].records[0]})
	}
	for cell := range simCells {
		name := fmt.Sprint("tasks", cell)
		for c := vm.cells[cell]; c != nil && c == vm.cells[cell] && c.batchesRead < len(s.streams[name]); c.batchesRead++ {
			r := s.streams[name][c.batchesRead]
			s.confirmBatch(vm, name, r)
			s.stepCell(vm, cell, tasks.Applied{Offset: int64(c.batchesRead + 1), ID: r.id, Records: r.records})
		}
	}
}

func (s *sim) applyResource(vm *simVM, ev tasks.Event) {
	for cell := range simCells {
		if vm.cells[cell] != nil {
			s.stepCell(vm, cell, ev)
		}
	}
}

// confirmBatch removes a batch that was read back from the writer.
func (s *sim) confirmBatch(vm *simVM, stream string, r simBatch) {
	if w := vm.writers[stream]; w != nil && len(w.inFlight.records) > 0 && w.inFlight.id == r.id {
		w.inFlight = simBatch{}
	}
}

func (s *sim) writeStream(vm *simVM, stream string) {
	w := vm.writers[stream]
	if w == nil || !s.logReachable(vm) {
		return
	}
	if len(w.inFlight.records) == 0 {
		count := len(w.queue)
		if stream == "claims" {
			count = min(1, count)
		}
		if count == 0 {
			return
		}
		w.sequence++
		w.inFlight = simBatch{id: record.ID{Incarnation: vm.incarnation, Sequence: w.sequence}, records: w.queue[:count]}
		w.queue = w.queue[count:]
		w.retryAt = 0
	}
	if s.now < w.retryAt {
		return
	}
	w.retryAt = s.now + time.Second
	r := w.inFlight
	s.after(s.networkDelay(), func() { s.streams[stream] = append(s.streams[stream], r) })
}

func (vm *simVM) enqueue(stream string, r *recordpb.Record) {
	if vm.writers[stream] == nil {
		vm.writers[stream] = new(simWriter)
	}
	vm.writers[stream].queue = append(vm.writers[stream].queue, proto.CloneOf(r))
}

func (s *sim) stepOwnership(vm *simVM, ev ownership.Event) {
	actions := vm.ownership.Step(vm.clock(s.now), ev)
	if s.trace != nil {
		s.trace(vm.ownership, vm.clock(s.now), ev, encodeAll(actions))
	}
	for _, action := range actions {
		switch a := action.(type) {
		case ownership.Append:
			if r := a.Record.GetRenew(); r != nil {
				r.Synced = s.membersWithCopies(vm)
			}
			vm.enqueue("claims", a.Record)
		case ownership.CellChanged:
			s.cellChanged(vm, a.View)
		case ownership.Drain:
			s.stepOwnership(vm, ownership.CellDrained(a))
		case ownership.AskPromises:
			for _, peer := range s.vms {
				s.sendToPeer(vm, peer, ownership.PromiseAsked{From: vm.name, Number: a.Number, Cells: a.Cells})
			}
		case ownership.AnswerPromise:
			for _, peer := range s.vms {
				if peer.name == a.To {
					s.sendToPeer(vm, peer, ownership.PromiseAnswered{From: vm.name, Number: a.Number, Granted: a.Granted, Newer: a.Newer})
				}
			}
		case ownership.Superseded, ownership.StopCompleted:
			vm.alive, vm.restartAt = false, s.now+2*time.Second
		}
	}
}

func (s *sim) sendToPeer(from, to *simVM, ev ownership.Event) {
	if from == to || s.now < from.partitionedUntil || s.now < to.partitionedUntil {
		return
	}
	incarnation := to.incarnation
	s.after(s.networkDelay(), func() {
		if to.alive && to.incarnation == incarnation && to.pausedUntil <= s.now {
			s.stepOwnership(to, ev)
		}
	})
}

// cellChanged starts or ends the task machine of a cell when its ownership
// changes.
func (s *sim) cellChanged(vm *simVM, view ownership.View) {
	c := vm.cells[view.Cell]
	owned := view.OwnTerm != 0 && view.OwnState != ownership.StateLost
	if c != nil && (!owned || c.term != view.OwnTerm) {
		delete(vm.cells, view.Cell)
		if w := vm.writers[fmt.Sprint("tasks", view.Cell)]; w != nil {
			// Records of the previous term are dropped; sequence numbers continue.
			w.queue, w.inFlight = nil, simBatch{}
		}
		c = nil
	}
	if !owned {
		return
	}
	if c == nil {
		s.openCell(vm, view)
		return
	}
	s.stepCell(vm, view.Cell, tasks.PredecessorsChanged{Count: view.Renewers})
}

func (s *sim) openCell(vm *simVM, view ownership.View) {
	config := tasks.DefaultConfig(vm.name, "giza", view.Cell)
	config.OfflineLimit = simOfflineLimit
	config.SnapshotRecords = 20
	config.Unsafe = s.unsafe
	c := &simCell{machine: tasks.New(config), term: view.OwnTerm}
	vm.cells[view.Cell] = c
	name := fmt.Sprint("tasks", view.Cell)
	var assembler record.Assembler
	for _, batch := range s.streams[name] {
		for _, r := range batch.records {
			if r.Chunk != nil {
				assembler.Add(r.Chunk)
			}
		}
	}
	if snapshot, ok := assembler.Newest(); ok {
		if err := c.machine.Restore(snapshot.Data); err != nil {
			panic(err)
		}
		c.batchesRead = int(c.machine.Offset())
		s.restored[c.machine] = snapshot.Data
	}
	for _, ev := range s.resourceEvents[:vm.resourcesRead] {
		s.stepCell(vm, view.Cell, ev)
	}
	s.stepCell(vm, view.Cell, tasks.WorkersListed{Workers: s.workersOf(view.Cell)})
	s.stepCell(vm, view.Cell, tasks.Owned{Term: view.OwnTerm, Predecessors: view.Renewers})
}

// runCell runs a step of a task machine with a policy that places, evicts, moves
// and checkpoints tasks at random.
func (s *sim) runCell(vm *simVM, cell int, c *simCell) {
	now := vm.clock(s.now)
	view := vm.ownership.View(now, cell)
	s.stepCell(vm, cell, tasks.AuthorityChanged{
		PlaceUntil: min(view.PlaceUntil, vm.freshness.StartUntil()),
		RenewUntil: vm.logSeenAt + simOfflineLimit,
	})
	s.stepCell(vm, cell, tasks.Tick{})
	workers := c.machine.Workers()
	for _, t := range c.machine.Tasks() {
		worker := workers[s.rng.IntN(len(workers))].ID
		to := &recordpb.Cell{DataCentre: "giza", Cell: int32(1 - cell)}
		switch {
		case t.Status == tasks.StatusPending && s.rng.IntN(40) == 0 && !s.plan.Fast:
			s.stepCell(vm, cell, tasks.MoveRequested{Task: t.Task, To: to})
		case t.Status == tasks.StatusPending || s.unsafe.NoEndedFirst:
			s.stepCell(vm, cell, tasks.PlacementDecided{Task: t.Task, Worker: worker})
		case s.plan.Fast:
		case t.Status == tasks.StatusPlaced && s.rng.IntN(400) == 0:
			s.stepCell(vm, cell, tasks.EvictRequested{Task: t.Task, Attempt: t.Attempt, To: to})
		case t.Status == tasks.StatusPlaced && s.rng.IntN(300) == 0:
			s.stepCell(vm, cell, tasks.EvictRequested{Task: t.Task, Attempt: t.Attempt})
		case t.Status == tasks.StatusPlaced && s.rng.IntN(100) == 0:
			s.stepCell(vm, cell, tasks.CheckpointRequested{Task: t.Task, Attempt: t.Attempt})
		}
	}
}

func (s *sim) stepCell(vm *simVM, cell int, ev tasks.Event) {
	c := vm.cells[cell]
	if c == nil {
		return
	}
	actions := c.machine.Step(vm.clock(s.now), ev)
	if s.trace != nil {
		s.trace(c.machine, vm.clock(s.now), ev, encodeAll(actions))
	}
	for _, action := range actions {
		s.execute(vm, cell, c, action)
	}
}

func (s *sim) execute(vm *simVM, cell int, c *simCell, action tasks.Action) {
	name := fmt.Sprint("tasks", cell)
	switch a := action.(type) {
	case tasks.Append:
		vm.enqueue(name, a.Record)
	case tasks.SnapshotDue:
		data, err := c.machine.Snapshot()
		if err != nil {
			panic(err)
		}
		chunks, err := record.SplitSnapshot(fmt.Sprint(vm.incarnation, c.machine.Offset()), c.machine.Offset(), data)
		if err != nil {
			panic(err)
		}
		vm.enqueue(name, &recordpb.Record{Term: c.term, Chunk: chunks[0]})
	case tasks.OfferMove:
		s.sendToCell(int(a.To.Cell), a.Offer)
	case tasks.ConfirmMove:
		s.sendToCell(int(a.To.Cell), a.Confirmed)
	default:
		s.sendCommand(vm, cell, action)
	}
}

// sendToCell delivers an event to every VM that runs a machine for the cell.
func (s *sim) sendToCell(cell int, ev tasks.Event) {
	for _, vm := range s.vms {
		s.after(s.networkDelay(), func() {
			if vm.alive && vm.pausedUntil <= s.now {
				s.stepCell(vm, cell, ev)
			}
		})
	}
}
