package coordinator_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/coordinator"
)

var errLost = errors.New("no answer")

// stormStore is a store that loses calls and answers, carries calls out late and out of order, and
// drops old records.
type stormStore struct {
	*fakeLog
	faults sync.Mutex
	random *rand.Rand
	// faultShare is the share of the calls that are refused, reset, lost or late; snapshotShare is that
	// of the saved snapshots.
	faultShare, snapshotShare float64
	awayUntil                 time.Time
	// first is the offset of the oldest record of each stream.
	first map[coordinator.Stream]int64
	saves int
}

// drawFault returns a number below 6 for a call with a fault, and -1 for another one.
func (s *stormStore) drawFault(share float64) int {
	s.faults.Lock()
	defer s.faults.Unlock()
	if s.random.Float64() >= share {
		return -1
	}
	return s.random.IntN(6)
}

func (s *stormStore) number(n int) int {
	s.faults.Lock()
	defer s.faults.Unlock()
	return s.random.IntN(n)
}

func (s *stormStore) share() float64 {
	s.faults.Lock()
	defer s.faults.Unlock()
	return s.faultShare
}

func (s *stormStore) isAway() bool {
	s.faults.Lock()
	defer s.faults.Unlock()
	return time.Now().Before(s.awayUntil)
}

func (s *stormStore) set(change func()) {
	s.faults.Lock()
	defer s.faults.Unlock()
	change()
}

// dropAfter drops records that are older than a time, until ctx is done.
func (s *stormStore) dropAfter(ctx context.Context, retention time.Duration) {
	for ; ctx.Err() == nil; time.Sleep(250 * time.Millisecond) {
		s.mu.Lock()
		ends := make(map[coordinator.Stream]int64)
		for stream, records := range s.streams {
			ends[stream] = int64(len(records))
		}
		s.mu.Unlock()
		time.AfterFunc(retention, func() { s.set(func() { s.first = ends }) })
	}
}

// storeCall makes a call of a process at the store, with a fault if one is drawn.
func storeCall[A any](ctx context.Context, s *stormStore, p *stormProcess, share float64, do func(ctx context.Context) (A, error)) (answer A, err error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	p.await()
	time.Sleep(time.Duration(s.number(20)) * time.Millisecond)
	late := func() { _, _ = do(context.Background()) }
	fault := s.drawFault(share)
	if p.cannotReachStore() || s.isAway() {
		fault = 0
		if s.number(2) == 0 {
			fault = 1
		}
	}
	switch fault {
	case -1:
		answer, err = do(ctx)
		p.await()
		if !p.isKilled() {
			return answer, err
		}
	case 0:
	case 1:
		return answer, coordinator.ErrNoEffect
	case 2:
		time.AfterFunc(time.Duration(1000+s.number(5000))*time.Millisecond, late)
	case 3:
		late()
	case 4:
		late()
		return answer, errLost
	case 5:
		// The answer comes after those of later calls.
		if sleepUntilDone(ctx, time.Duration(s.number(400))*time.Millisecond) == nil {
			return do(ctx)
		}
	}
	<-ctx.Done()
	var none A
	return none, ctx.Err()
}

// stormLog is the store as a process reaches it.
type stormLog struct {
	*stormStore
	p *stormProcess
}

func (l stormLog) Append(ctx context.Context, s coordinator.Stream, records [][]byte, f *coordinator.Fence) (int64, error) {
	return storeCall(ctx, l.stormStore, l.p, l.share(), func(ctx context.Context) (int64, error) {
		return l.fakeLog.Append(ctx, s, records, f)
	})
}

func (l stormLog) End(ctx context.Context, s coordinator.Stream) (int64, error) {
	return l.Append(ctx, s, nil, nil)
}

func (l stormLog) Read(ctx context.Context, s coordinator.Stream, from int64, limit int, wait time.Duration) (coordinator.Page, error) {
	page, err := storeCall(ctx, l.stormStore, l.p, l.share()/2, func(ctx context.Context) (coordinator.Page, error) {
		l.faults.Lock()
		first := l.first[s]
		l.faults.Unlock()
		if from < first {
			return coordinator.Page{LogStart: first}, coordinator.ErrExpired
		}
		return l.fakeLog.Read(ctx, s, from, limit, wait)
	})
	return page, err
}

func (l stormLog) Put(ctx context.Context, key string, value []byte) error {
	_, err := storeCall(ctx, l.stormStore, l.p, l.share(), func(ctx context.Context) (int, error) {
		return 0, l.fakeLog.Put(ctx, key, value)
	})
	return err
}

func (l stormLog) Values(ctx context.Context) (map[string][]byte, error) {
	return storeCall(ctx, l.stormStore, l.p, l.share(), l.fakeLog.Values)
}

// Save replaces the snapshot if no other one has been saved since the call began.
func (l stormLog) Save(ctx context.Context, cell int, parts [][]byte, form coordinator.SnapshotForm) (int, error) {
	l.faults.Lock()
	known, share := l.saves, max(l.snapshotShare, l.faultShare)
	l.faults.Unlock()
	return storeCall(ctx, l.stormStore, l.p, share, func(ctx context.Context) (int, error) {
		l.faults.Lock()
		defer l.faults.Unlock()
		if l.saves != known {
			return 0, coordinator.ErrOffsetMismatch
		}
		l.saves++
		return l.fakeLog.Save(ctx, cell, parts, form)
	})
}

func (l stormLog) Load(ctx context.Context, cell int) ([][][]byte, error) {
	return storeCall(ctx, l.stormStore, l.p, l.share(), func(ctx context.Context) ([][][]byte, error) {
		return l.fakeLog.Load(ctx, cell)
	})
}

// stormMember is the group as a process reaches it.
type stormMember struct {
	*stormStore
	cellMember
	p *stormProcess
}

func (m stormMember) Join(ctx context.Context, generation int64) (coordinator.Assignment, error) {
	return storeCall(ctx, m.stormStore, m.p, m.share(), func(ctx context.Context) (coordinator.Assignment, error) {
		return m.cellMember.Join(ctx, generation)
	})
}
