package coordinator_test

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// fakeLog is an in-memory log, key-value store and snapshot store.
type fakeLog struct {
	mu      sync.Mutex
	streams map[coordinator.Stream][][]byte
	fenced  map[coordinator.Stream]*fencedAppends
	changed chan struct{}
	// openings, if set, holds the appends that open an epoch.
	openings *barrier
	// lostOpenings is the number of such appends that take effect and get no answer.
	lostOpenings int
	// misplaced is the number of appends within an epoch whose answers name a later offset,
	// misplacedOpenings that of appends that open one.
	misplaced, misplacedOpenings int
	// values holds the values of the key-value store.
	values map[string][]byte
	// appendErr, if not nil, is the error of all appends. With appliesBeforeErr
	// they take effect nevertheless.
	appendErr        error
	appliesBeforeErr bool
	// intakeTime is the time that the intake takes for an append, one at a time.
	intakeTime time.Duration
	intakeTurn chan struct{}
	// snapshots holds the parts of each cell's newest snapshot.
	snapshots map[int][][]byte
	// saveErr, if not nil, is the error of saving snapshots, which then have no effect.
	saveErr error
	// snapshotAppends is the number of appends of a snapshot, or 0 for 1; forms are those in
	// which snapshots were saved.
	snapshotAppends int
	forms           []coordinator.SnapshotForm
	// leftover holds the parts of a snapshot whose writer has ended before it was complete.
	leftover [][]byte
	// loadErr, if not nil, is the error of loading snapshots. With loadHangs it is returned only after
	// the time-out, with loadFailures above 0 for so many loads.
	loadErr      error
	loadHangs    bool
	loadFailures int
	// loadTime is the time that a load takes.
	loadTime time.Duration
	// logStart is the offset of the oldest record that is kept of each stream.
	logStart int64
	// recordTime is the time that each record of a read takes.
	recordTime time.Duration
	// cellReads counts the reads of the cell streams.
	cellReads int
	// hiddenRecords is the number of the newest intake records that reads do not
	// return.
	hiddenRecords int
	// rejectTransfers makes appends of transferred tasks fail without effect.
	rejectTransfers bool
	// rejectCancellations does the same to cancellations.
	rejectCancellations bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		streams: make(map[coordinator.Stream][][]byte), fenced: make(map[coordinator.Stream]*fencedAppends),
		intakeTurn: make(chan struct{}, 1),
		changed:    make(chan struct{}), values: make(map[string][]byte), snapshots: make(map[int][][]byte),
	}
}

func (l *fakeLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// appendsTo returns the fenced appends to a stream. The caller holds the lock.
func (l *fakeLog) appendsTo(s coordinator.Stream) *fencedAppends {
	if l.fenced[s] == nil {
		l.fenced[s] = &fencedAppends{}
	}
	return l.fenced[s]
}

func (l *fakeLog) Append(ctx context.Context, s coordinator.Stream, records [][]byte, f *coordinator.Fence) (int64, error) {
	if f != nil && f.ExpectedEnd >= 0 {
		l.openings.await(ctx)
	}
	time.Sleep(5 * time.Millisecond)
	if s.Topic == "intake" && l.intakeTime > 0 && len(records) > 0 {
		l.intakeTurn <- struct{}{}
		time.Sleep(l.intakeTime)
		<-l.intakeTurn
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.appendErr != nil && !l.appliesBeforeErr {
		return 0, l.appendErr
	}
	if l.rejectTransfers && slices.ContainsFunc(records, isTransfer) || l.rejectCancellations && slices.ContainsFunc(records, isCancellation) {
		return 0, coordinator.ErrNoEffect
	}
	if f != nil {
		end := int64(len(l.streams[s]))
		if answer, executes, err := l.appendsTo(s).check(f, end); !executes {
			return answer, cmp.Or(err, l.appendErr)
		}
		l.appendsTo(s).note(f, end+int64(len(records)))
	}
	l.streams[s] = append(l.streams[s], records...)
	close(l.changed)
	l.changed = make(chan struct{})
	if f != nil && f.ExpectedEnd >= 0 && l.lostOpenings > 0 {
		l.lostOpenings--
		return 0, errors.New("no answer")
	}
	end := int64(len(l.streams[s]))
	if misplaced := l.misplacedAppends(f); *misplaced > 0 {
		*misplaced--
		end++
	}
	return end, l.appendErr
}

// misplacedAppends returns the number of appends like one with a fence whose answers name a later offset.
func (l *fakeLog) misplacedAppends(f *coordinator.Fence) *int {
	switch {
	case f == nil:
		return new(int)
	case f.ExpectedEnd >= 0:
		return &l.misplacedOpenings
	}
	return &l.misplaced
}

func isTransfer(data []byte) bool {
	r, err := ledger.Decode(data)
	return err == nil && r.Transferred != nil
}

func isCancellation(data []byte) bool {
	r, err := ledger.Decode(data)
	return err == nil && r.Cancelled != nil
}

// Put and Values implement coordinator.KeyValueStore.
func (l *fakeLog) Put(_ context.Context, key string, value []byte) error {
	l.update(func() { l.values[key] = value })
	return nil
}

func (l *fakeLog) Values(context.Context) (map[string][]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.values), nil
}

// Save and Load implement coordinator.SnapshotStore.
func (l *fakeLog) Save(_ context.Context, cell int, parts [][]byte, form coordinator.SnapshotForm) (int, error) {
	var err error
	l.update(func() {
		if err = l.saveErr; err != nil {
			return
		}
		l.snapshots[cell] = parts
		l.forms = append(l.forms, form)
	})
	return max(1, l.snapshotAppends), err
}

func (l *fakeLog) Load(ctx context.Context, cell int) ([][][]byte, error) {
	if l.loadTime > 0 {
		if err := sleepUntilDone(ctx, l.loadTime); err != nil {
			return nil, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.loadErr; err != nil {
		if l.loadFailures--; l.loadFailures == 0 {
			l.loadErr = nil
		}
		if l.loadHangs {
			l.mu.Unlock()
			<-ctx.Done()
			l.mu.Lock()
		}
		return nil, err
	}
	if l.snapshots[cell] == nil {
		return nil, nil
	}
	if l.leftover != nil {
		return [][][]byte{l.snapshots[cell], l.leftover}, nil
	}
	return [][][]byte{l.snapshots[cell]}, nil
}

// sleepUntilDone waits for a duration, and returns an error if ctx is done before.
func sleepUntilDone(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *fakeLog) End(ctx context.Context, s coordinator.Stream) (int64, error) {
	return l.Append(ctx, s, nil, nil)
}

func (l *fakeLog) Read(ctx context.Context, s coordinator.Stream, from int64, limit int, wait time.Duration) (coordinator.Page, error) {
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		end := int64(len(l.streams[s]))
		if s.Topic == coordinator.CellTopic {
			l.cellReads++
		}
		if from < l.logStart {
			l.mu.Unlock()
			return coordinator.Page{LogStart: min(l.logStart, end)}, coordinator.ErrExpired
		}
		if s.Topic == "intake" {
			end = max(0, end-int64(l.hiddenRecords))
		}
		page := coordinator.Page{From: from, LogEnd: end}
		if from < end {
			page.Records = append(page.Records, l.streams[s][from:min(end, from+int64(limit))]...)
		}
		changed, transfer := l.changed, time.Duration(len(page.Records))*l.recordTime
		l.mu.Unlock()
		if len(page.Records) > 0 || wait == 0 {
			return page, sleepUntilDone(ctx, transfer)
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return coordinator.Page{}, ctx.Err()
		}
	}
}

// fakeGroup assigns the cells to the member owner.
type fakeGroup struct {
	mu              sync.Mutex
	generation      int64
	owner           string
	nonReserveOwner bool
	// cells is the number of cells that the owner is assigned; 0 counts as 1.
	cells int
	// joins counts the joins of each member, leaves how often it left.
	joins, leaves map[string]int
	// heir, if set, is the owner after the present one has left.
	heir string
}

func (g *fakeGroup) assignTo(vm string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.generation++
	g.owner = vm
}

func (g *fakeGroup) leavesOf(vm string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaves[vm]
}

func (g *fakeGroup) joinsOf(vm string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.joins[vm]
}

func (g *fakeGroup) update(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

// member is the client of the group at one node.
type member struct {
	*fakeGroup
	vm string
	// unreachable, if it points to true, makes joins fail.
	unreachable *bool
}

func (m member) Join(context.Context, int64) (coordinator.Assignment, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.joins == nil {
		m.joins = make(map[string]int)
	}
	m.joins[m.vm]++
	if m.unreachable != nil && *m.unreachable {
		return coordinator.Assignment{}, errors.New("no answer")
	}
	a := coordinator.Assignment{Generation: m.generation}
	if m.owner == m.vm {
		for number := range max(1, m.cells) {
			a.Cells = append(a.Cells, number)
		}
	}
	return a, nil
}

func (m member) HasOwnerBelow(context.Context, int) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nonReserveOwner, nil
}

func (m member) Leave(context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaves == nil {
		m.leaves = make(map[string]int)
	}
	m.leaves[m.vm]++
	if m.owner == m.vm && m.heir != "" {
		m.owner = m.heir
		m.generation++
	}
	return nil
}

// fakeDeclarations never change.
type fakeDeclarations struct{}

func (fakeDeclarations) Next(ctx context.Context) (coordinator.Declarations, error) {
	select {
	case <-time.After(500 * time.Millisecond):
	case <-ctx.Done():
	}
	return coordinator.Declarations{Manifest: &workload.Manifest{Version: 1}}, nil
}
