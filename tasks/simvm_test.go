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

// simVM is an entry VM: the wiring that the daemon does, in virtual time.
type simVM struct {
	number    int
	name      string
	rate      float64
	birth     time.Duration
	id        uint64
	alive     bool
	restart   time.Duration
	paused    time.Duration
	cut       time.Duration
	owner     *ownership.Machine
	fresh     *freshness.Machine
	cells     map[int]*simCell
	readAt    time.Duration
	logSeenAt time.Duration
	claims    int
	resources int
	writers   map[string]*simWriter
}

// simCell is an owned cell.
type simCell struct {
	machine *tasks.Machine
	term    int64
	read    int
}

// simWriter appends to one stream, one batch at a time.
type simWriter struct {
	queue    []*recordpb.Record
	inFlight simRecord
	sequence uint64
	retryAt  time.Duration
}

type simRecord struct {
	id      record.ID
	records []*recordpb.Record
}

func (s *sim) startVM(vm *simVM) {
	s.generation++
	id := s.generation
	config := ownership.DefaultConfig(vm.name, "giza", id, simCells)
	config.Unsafe = s.unsafeOwnership
	*vm = simVM{
		number: vm.number, name: vm.name, rate: vm.rate, cut: vm.cut, birth: s.now, id: id, alive: true,
		owner:   ownership.New(config),
		fresh:   freshness.New(freshness.DefaultConfig()),
		cells:   make(map[int]*simCell),
		writers: make(map[string]*simWriter),
	}
}

func (vm *simVM) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-vm.birth) * vm.rate)
}

func (s *sim) logReachable(vm *simVM) bool { return s.now >= vm.cut && s.now >= s.logDown }

func (s *sim) runVM(vm *simVM) {
	if !vm.alive {
		if s.now >= vm.restart {
			s.startVM(vm)
		}
		return
	}
	if vm.paused > s.now {
		return
	}
	s.readLog(vm)
	for _, name := range s.streamNames() {
		s.write(vm, name)
	}
	if s.now%(2*time.Second) == 0 {
		s.stepOwner(vm, ownership.VMsListed{VMs: s.names})
	}
	s.stepOwner(vm, ownership.Tick{})
	for number := range simCells {
		if c := vm.cells[number]; c != nil {
			s.runCell(vm, number, c)
		}
	}
}

func (s *sim) readLog(vm *simVM) {
	if s.now < vm.readAt || !s.logReachable(vm) {
		return
	}
	if !s.plan.Fast {
		vm.readAt = s.now + s.delay(250*time.Millisecond)
	}
	now := vm.clock(s.now)
	vm.logSeenAt = now
	vm.fresh.Step(now, freshness.DirectRead{SentAt: now, Head: int64(len(s.resources))})
	for ; vm.resources < len(s.resources); vm.resources++ {
		s.applyResource(vm, s.resources[vm.resources])
	}
	vm.fresh.Step(now, freshness.Applied{Offset: int64(vm.resources)})
	claims := s.streams["claims"]
	for ; vm.claims < len(claims) && vm.alive; vm.claims++ {
		s.confirm(vm, "claims", claims[vm.claims])
		s.stepOwner(vm, ownership.Applied{Offset: int64(vm.claims + 1), Record: claims[vm.claims].records[0]})
	}
	for number := range simCells {
		name := fmt.Sprint("tasks", number)
		for c := vm.cells[number]; c != nil && c == vm.cells[number] && c.read < len(s.streams[name]); c.read++ {
			r := s.streams[name][c.read]
			s.confirm(vm, name, r)
			s.stepCell(vm, number, tasks.Applied{Offset: int64(c.read + 1), ID: r.id, Records: r.records})
		}
	}
}

func (s *sim) applyResource(vm *simVM, ev tasks.Event) {
	for number := range simCells {
		if vm.cells[number] != nil {
			s.stepCell(vm, number, ev)
		}
	}
}

// confirm takes a batch that was read back off the writer.
func (s *sim) confirm(vm *simVM, stream string, r simRecord) {
	if w := vm.writers[stream]; w != nil && len(w.inFlight.records) > 0 && w.inFlight.id == r.id {
		w.inFlight = simRecord{}
	}
}

func (s *sim) write(vm *simVM, stream string) {
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
		w.inFlight = simRecord{id: record.ID{Incarnation: vm.id, Sequence: w.sequence}, records: w.queue[:count]}
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

func (s *sim) stepOwner(vm *simVM, ev ownership.Event) {
	actions := vm.owner.Step(vm.clock(s.now), ev)
	if s.trace != nil {
		s.trace(vm.owner, vm.clock(s.now), ev, texts(actions))
	}
	for _, action := range actions {
		switch a := action.(type) {
		case ownership.Append:
			vm.enqueue("claims", a.Record)
		case ownership.CellChanged:
			s.cellChanged(vm, a.View)
		case ownership.Drain:
			s.stepOwner(vm, ownership.CellDrained(a))
		case ownership.AskPromises:
			for _, peer := range s.vms {
				s.tell(vm, peer, ownership.PromiseAsked{From: vm.name, Number: a.Number, Cells: a.Cells})
			}
		case ownership.AnswerPromise:
			for _, peer := range s.vms {
				if peer.name == a.To {
					s.tell(vm, peer, ownership.PromiseAnswered{From: vm.name, Number: a.Number, Granted: a.Granted, Newer: a.Newer})
				}
			}
		case ownership.Superseded, ownership.StopCompleted:
			vm.alive, vm.restart = false, s.now+2*time.Second
		}
	}
}

func (s *sim) tell(from, to *simVM, ev ownership.Event) {
	if from == to || s.now < from.cut || s.now < to.cut {
		return
	}
	id := to.id
	s.after(s.networkDelay(), func() {
		if to.alive && to.id == id && to.paused <= s.now {
			s.stepOwner(to, ev)
		}
	})
}

// cellChanged starts and ends the task machine of a cell.
func (s *sim) cellChanged(vm *simVM, view ownership.View) {
	c := vm.cells[view.Cell]
	owned := view.OwnTerm != 0 && view.OwnState != ownership.StateLost
	if c != nil && (!owned || c.term != view.OwnTerm) {
		delete(vm.cells, view.Cell)
		if w := vm.writers[fmt.Sprint("tasks", view.Cell)]; w != nil {
			// Records of the former term are dropped; sequences go on.
			w.queue, w.inFlight = nil, simRecord{}
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
	config.OfflineLimit = simOffline
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
		c.read = int(c.machine.Offset())
		s.restored[c.machine] = snapshot.Data
	}
	for _, ev := range s.resources[:vm.resources] {
		s.stepCell(vm, view.Cell, ev)
	}
	s.stepCell(vm, view.Cell, tasks.WorkersListed{Workers: s.workersOf(view.Cell)})
	s.stepCell(vm, view.Cell, tasks.Owned{Term: view.OwnTerm, Predecessors: view.Renewers})
}

// runCell lets a task machine decide, with an outside policy that places,
// evicts and moves at random.
func (s *sim) runCell(vm *simVM, number int, c *simCell) {
	now := vm.clock(s.now)
	view := vm.owner.View(now, number)
	s.stepCell(vm, number, tasks.AuthorityChanged{
		PlaceUntil: min(view.PlaceUntil, vm.fresh.StartUntil()),
		RenewUntil: vm.logSeenAt + simOffline,
	})
	s.stepCell(vm, number, tasks.Tick{})
	workers := c.machine.Workers()
	for _, t := range c.machine.Tasks() {
		worker := workers[s.rng.IntN(len(workers))].ID
		to := &recordpb.Cell{DataCentre: "giza", Cell: int32(1 - number)}
		switch {
		case t.Status == tasks.StatusPending && s.rng.IntN(40) == 0 && !s.plan.Fast:
			s.stepCell(vm, number, tasks.MoveRequested{Task: t.Task, To: to})
		case t.Status == tasks.StatusPending || s.unsafe.NoEndedFirst:
			s.stepCell(vm, number, tasks.PlacementDecided{Task: t.Task, Worker: worker})
		case s.plan.Fast:
		case t.Status == tasks.StatusPlaced && s.rng.IntN(400) == 0:
			s.stepCell(vm, number, tasks.EvictRequested{Task: t.Task, Attempt: t.Attempt, To: to})
		case t.Status == tasks.StatusPlaced && s.rng.IntN(300) == 0:
			s.stepCell(vm, number, tasks.EvictRequested{Task: t.Task, Attempt: t.Attempt})
		case t.Status == tasks.StatusPlaced && s.rng.IntN(100) == 0:
			s.stepCell(vm, number, tasks.CheckpointRequested{Task: t.Task, Attempt: t.Attempt})
		}
	}
}

func (s *sim) stepCell(vm *simVM, number int, ev tasks.Event) {
	c := vm.cells[number]
	if c == nil {
		return
	}
	actions := c.machine.Step(vm.clock(s.now), ev)
	if s.trace != nil {
		s.trace(c.machine, vm.clock(s.now), ev, texts(actions))
	}
	for _, action := range actions {
		s.act(vm, number, c, action)
	}
}

func (s *sim) act(vm *simVM, number int, c *simCell, action tasks.Action) {
	name := fmt.Sprint("tasks", number)
	switch a := action.(type) {
	case tasks.Append:
		vm.enqueue(name, a.Record)
	case tasks.SnapshotDue:
		data, err := c.machine.Snapshot()
		if err != nil {
			panic(err)
		}
		chunks, err := record.SplitSnapshot(fmt.Sprint(vm.id, c.machine.Offset()), c.machine.Offset(), data)
		if err != nil {
			panic(err)
		}
		vm.enqueue(name, &recordpb.Record{Term: c.term, Chunk: chunks[0]})
	case tasks.OfferMove:
		s.toCell(int(a.To.Cell), a.Offer)
	case tasks.ConfirmMove:
		s.toCell(int(a.To.Cell), a.Confirmed)
	default:
		s.command(vm, number, action)
	}
}

// toCell delivers an event to every VM that runs a machine for the cell.
func (s *sim) toCell(number int, ev tasks.Event) {
	for _, vm := range s.vms {
		s.after(s.networkDelay(), func() {
			if vm.alive && vm.paused <= s.now {
				s.stepCell(vm, number, ev)
			}
		})
	}
}
