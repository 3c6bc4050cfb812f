package ledger_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// transferCell is a cell of TestTransfersSurviveRepeats: the ledger of its owner and the
// records of its two streams.
type transferCell struct {
	ledger       *ledger.Ledger
	intake, cell []*ledgerpb.Record
	// intakeRead is the number of intake records that the owner has read.
	intakeRead int
	snapshot   []*ledgerpb.Snapshot
}

func (c *transferCell) appendCell(r *ledgerpb.Record) {
	c.cell = append(c.cell, r)
	c.ledger.Apply(r)
}

func (c *transferCell) readIntake() {
	for ; c.intakeRead < len(c.intake); c.intakeRead++ {
		c.ledger.Apply(c.intake[c.intakeRead])
	}
}

func (c *transferCell) saveSnapshot() {
	c.snapshot = c.ledger.Snapshot(ledger.Offsets{Cell: int64(len(c.cell)), Intake: int64(c.intakeRead)})
}

// replayed returns the ledger of a node that reads the streams as a takeover does: the
// last snapshot, if it is to be used, then the intake, then the cell stream. Unless all
// records are repeated, it reads from the offsets of the snapshot.
func (c *transferCell) replayed(useSnapshot, repeatAll bool) *ledger.Ledger {
	l := ledger.New()
	var from ledger.Offsets
	if c.snapshot != nil && useSnapshot {
		from = l.ApplySnapshot(c.snapshot)
	}
	if repeatAll {
		from = ledger.Offsets{}
	}
	for _, r := range c.intake[from.Intake:] {
		l.Apply(r)
	}
	for _, r := range c.cell[from.Cell:] {
		l.Apply(r)
	}
	return l
}

// continued returns the ledger of a node that has read the intake, but only the beginning
// of the cell stream, when it loads the last snapshot.
func (c *transferCell) continued(cellRead int64) *ledger.Ledger {
	l := ledger.New()
	for _, r := range c.intake {
		l.Apply(r)
	}
	for _, r := range c.cell[:cellRead] {
		l.Apply(r)
	}
	for _, r := range c.cell[l.ApplySnapshot(c.snapshot).Cell:] {
		l.Apply(r)
	}
	return l
}

// sentTransfer is a Transferred record and the cell that it is for.
type sentTransfer struct {
	to     int
	record *ledgerpb.Record
}

// transferModel has two long-running tasks that move between three cells.
type transferModel struct {
	*rapid.T
	cells []*transferCell
	// holder is the cell to which each task was last released, lastRun the number of the
	// last run that was placed.
	holder  [2]int
	lastRun [2]int64
	sent    []sentTransfer
}

// Guards against a takeover, or a delayed or repeated append, after which two cells have
// a task or none has it, and against run numbers that start anew. Tasks move between
// three cells, run in between, and may be released with an abandoned run. Owners read
// the intake late, get notifications earlier, and are replaced.
func TestTransfersSurviveRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &transferModel{T: t}
		for range 3 {
			m.cells = append(m.cells, &transferCell{ledger: ledger.New()})
		}
		m.cells[0].intake = append(m.cells[0].intake, ledger.SubmittedRecord(longRunning("s")))
		m.cells[0].readIntake()
		t.Repeat(map[string]func(*rapid.T){"step": func(t *rapid.T) {
			index := rapid.IntRange(0, 1).Draw(t, "index")
			number := rapid.SampledFrom([]int{0, 1, 2, m.holder[index], m.holder[index], m.holder[index]}).Draw(t, "cell")
			step := m.step(number, index)
			m.check(fmt.Sprintf("%s in cell %d", step, number))
		}})
		m.finish()
	})
}

// step makes a random step of a task and a cell, and returns its name.
func (m *transferModel) step(number, index int) string {
	c := m.cells[number]
	name := rapid.SampledFrom([]string{
		"place", "place", "end", "release", "release", "release", "release", "transfer", "transfer", "read", "read", "snapshot", "takeover",
	}).Draw(m.T, "step")
	state := m.held(c, index)
	switch name {
	case "place":
		if state != nil && !state.Open {
			m.lastRun[index] = state.Run + 1
			c.appendCell(placed(state.ID, state.Run+1))
		}
	case "end":
		if state != nil && state.Open {
			c.appendCell(ended(state.ID, state.Run, workload.Errored))
		}
	case "release":
		if state != nil {
			m.release(number, state)
		}
	case "transfer":
		m.transfer()
	case "read":
		c.readIntake()
	case "snapshot":
		c.saveSnapshot()
	case "takeover":
		m.takeOver(number)
	}
	return name
}

// held returns a task if the cell has it, or nil.
func (m *transferModel) held(c *transferCell, index int) *ledger.Task {
	if e := c.ledger.Find("s"); e != nil && !e.Task(task("s", 0, index)).Away {
		return e.Task(task("s", 0, index))
	}
	return nil
}

func (m *transferModel) release(from int, state *ledger.Task) {
	c := m.cells[from]
	to := (from + rapid.IntRange(1, 2).Draw(m.T, "to")) % 3
	c.appendCell(ledger.ReleasedRecord(state, to, ""))
	m.holder[state.ID.Index] = to
	m.sent = append(m.sent, sentTransfer{to, ledger.TransferredRecord(c.ledger.Find("s"), state)})
	if rapid.SampledFrom([]bool{true, true, true, false}).Draw(m.T, "at once") {
		m.transfer()
		m.cells[to].readIntake()
	}
}

// transfer appends the last transfer, or a copy of any one.
func (m *transferModel) transfer() {
	if len(m.sent) == 0 {
		return
	}
	sent := m.sent[len(m.sent)-1]
	if rapid.SampledFrom([]bool{false, false, true}).Draw(m.T, "any") {
		sent = rapid.SampledFrom(m.sent).Draw(m.T, "copy")
	}
	c := m.cells[sent.to]
	for range rapid.IntRange(1, 2).Draw(m.T, "copies") {
		c.intake = append(c.intake, sent.record)
	}
	if rapid.Bool().Draw(m.T, "notify") {
		c.ledger.Apply(sent.record)
	}
}

// takeOver replaces the owner of a cell by a successor, which transfers the released
// tasks again.
func (m *transferModel) takeOver(number int) {
	c := m.cells[number]
	successor := c.replayed(rapid.Bool().Draw(m.T, "use snapshot"), rapid.Bool().Draw(m.T, "repeat all"))
	m.compare(number, c.ledger, successor, c.intakeRead == len(c.intake))
	c.readIntake()
	m.compare(number, c.ledger, successor, true)
	c.ledger = successor
	m.resumeTransfers(c)
}

// compare checks that a successor has the state of the previous owner. If that one had
// not read the whole intake, it may have missed newer transfers, and that the submission
// has begun.
func (m *transferModel) compare(number int, previous, successor *ledger.Ledger, same bool) {
	before, after := previous.Find("s"), successor.Find("s")
	if before == nil {
		if same && after != nil {
			m.Fatalf("successor of cell %d has a submission that the owner lacks", number)
		}
		return
	}
	if a, b := after.State(), before.State(); a != b && (same || b != workload.Queued || a != workload.Running) {
		m.Fatalf("takeover of cell %d: state %v became %v", number, b, a)
	}
	for index := range m.holder {
		b, a := relevantState(before, index), relevantState(after, index)
		if (same || b.Transfer == a.Transfer) && !reflect.DeepEqual(a, b) {
			m.Fatalf("takeover of cell %d: %+v became %+v", number, b, a)
		}
	}
}

// relevantState returns the state of a task without ReleasedTo, unless it is away.
func relevantState(e *ledger.Entry, index int) ledger.Task {
	t := *e.Task(task("s", 0, index))
	if !t.Away {
		t.ReleasedTo = 0
	}
	return t
}

func (m *transferModel) resumeTransfers(c *transferCell) {
	e := c.ledger.Find("s")
	if e == nil {
		return
	}
	for index := range m.holder {
		if t := e.Task(task("s", 0, index)); t.Away && t.Transfer > 0 {
			target := m.cells[t.ReleasedTo]
			target.intake = append(target.intake, ledger.TransferredRecord(e, t))
		}
	}
}

// check checks what holds also while transfers are under way.
func (m *transferModel) check(when string) {
	for index, holder := range m.holder {
		for number, c := range m.cells {
			t := m.held(c, index)
			if t != nil && number != holder {
				m.Fatalf("%s: cell %d has task %d of cell %d", when, number, index, holder)
			}
			if t != nil && t.Run < m.lastRun[index] {
				m.Fatalf("%s: task %d has run number %d after run %d", when, index, t.Run, m.lastRun[index])
			}
			if e := c.ledger.Find("s"); t == nil && e != nil && e.Task(task("s", 0, index)).Open {
				m.Fatalf("%s: task %d is away from cell %d and has a run", when, index, number)
			}
		}
	}
	for number, c := range m.cells {
		held := 0
		for index := range m.holder {
			if m.held(c, index) != nil {
				held++
			}
		}
		if c.ledger.Find("s") != nil && local(c.ledger, "s") != held {
			m.Fatalf("%s: cell %d counts %d tasks instead of %d", when, number, local(c.ledger, "s"), held)
		}
	}
}

// finish lets all transfers arrive. Then each task is where it was last released to, for
// each owner and for any successor.
func (m *transferModel) finish() {
	for range 2 {
		for _, c := range m.cells {
			c.readIntake()
			m.resumeTransfers(c)
		}
	}
	for _, c := range m.cells {
		c.readIntake()
	}
	m.check("end")
	for number, c := range m.cells {
		m.checkHolder(fmt.Sprint("owner of cell ", number), c.ledger, number)
		for _, useSnapshot := range []bool{false, true} {
			for _, repeatAll := range []bool{false, true} {
				successor := c.replayed(useSnapshot, repeatAll)
				m.compare(number, c.ledger, successor, true)
				m.checkHolder(fmt.Sprint("successor of cell ", number), successor, number)
			}
		}
		if c.snapshot != nil && c.snapshot[0].CellNext > 0 {
			reader := c.continued(rapid.Int64Range(0, c.snapshot[0].CellNext-1).Draw(m.T, "cell records read"))
			m.compare(number, c.ledger, reader, true)
			m.checkHolder(fmt.Sprint("reader of cell ", number), reader, number)
		}
	}
}

func (m *transferModel) checkHolder(name string, l *ledger.Ledger, number int) {
	e, held := l.Find("s"), 0
	for index, holder := range m.holder {
		if holder == number {
			held++
		}
		if e == nil && holder == number {
			m.Fatalf("%s lacks task %d", name, index)
		}
		if e != nil && e.Task(task("s", 0, index)).Away != (holder != number) {
			m.Fatalf("%s: task %d of cell %d is away: %v", name, index, holder, holder == number)
		}
	}
	if e != nil && local(l, "s") != held {
		m.Fatalf("%s has %d tasks instead of %d", name, local(l, "s"), held)
	}
}
