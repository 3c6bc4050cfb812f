package resources_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
)

// call is an input of a history: a conditional write (tasks > 0) or a read.
type call struct {
	precondition resources.Precondition
	tasks        int
}

// answer is an output of a history.
type answer struct {
	ok      bool
	version api.Version
	tasks   int
}

// register is the specification: one resource with a version.
type register struct {
	version api.Version
	tasks   int
}

// registerModel states what callers may see, without looking at the log: a
// write succeeds if and only if its precondition holds, each success gives a
// higher version, and a read returns the newest state.
var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		r, in, out := state.(register), input.(call), output.(answer)
		if in.tasks == 0 {
			return out.version == r.version && out.tasks == r.tasks, r
		}
		p := in.precondition
		holds := (!p.MustNotExist || r.version == 0) && (p.Version == 0 || p.Version == r.version)
		if !holds || !out.ok {
			return holds == out.ok && out.version == r.version, r
		}
		return out.version > r.version, register{out.version, in.tasks}
	},
}

// sequencer stands for the log: it gives each record its offset and delivers
// it to the store. A third of the records are delivered twice.
type sequencer struct {
	mu    sync.Mutex
	store *resources.Store
}

func (s *sequencer) submit(op resources.Operation, repeat bool) resources.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcomes, err := s.store.Apply(s.store.View().Offset()+1, op)
	if err != nil {
		panic(err)
	}
	if repeat {
		if _, err := s.store.Apply(s.store.View().Offset()+1, op); err != nil {
			panic(err)
		}
	}
	return outcomes[0]
}

// writeAndRead issues conditional writes that build on what the writer read.
func writeAndRead(s *sequencer, writer int, started time.Time, record func(porcupine.Operation)) {
	random := rand.New(rand.NewPCG(7, uint64(writer)))
	for i := range 30 {
		begin := time.Since(started).Nanoseconds()
		seen, _ := s.store.View().Get(api.KindJob, "a")
		read := answer{true, seen.Version, 0}
		if seen.Job != nil {
			read.tasks = seen.Job.Tasks
		}
		record(porcupine.Operation{ClientId: writer, Input: call{}, Call: begin, Output: read, Return: time.Since(started).Nanoseconds()})

		in := call{resources.Precondition{Version: seen.Version, MustNotExist: seen.Version == 0}, 1 + random.IntN(1000)}
		if random.IntN(5) == 0 {
			in.precondition = resources.Precondition{}
		}
		op := put(fmt.Sprintf("%d-%d", writer, i), job("a", in.tasks), in.precondition)
		begin = time.Since(started).Nanoseconds()
		outcome := s.submit(op, random.IntN(3) == 0)
		out := answer{ok: outcome.Code == result.OK, version: outcome.Version}
		record(porcupine.Operation{ClientId: writer, Input: in, Call: begin, Output: out, Return: time.Since(started).Nanoseconds()})
	}
}

// Guards against racing conditional writes of which both or none win, against
// a lost update, and against a stale read after a write was answered. Every
// interleaving must satisfy the model, so the verdict does not depend on timing.
func TestConcurrentConditionalWritesAreLinearizable(t *testing.T) {
	s := &sequencer{store: resources.New(resources.Limits{})}
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(op porcupine.Operation) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, op)
	}
	var writers sync.WaitGroup
	started := time.Now()
	for writer := range 6 {
		writers.Go(func() { writeAndRead(s, writer, started, record) })
	}
	writers.Wait()
	if !porcupine.CheckOperations(registerModel, history) {
		t.Fatalf("history of %d operations is not linearizable", len(history))
	}
}

// Guards against a model that accepts anything: two winners of one version
// must be rejected.
func TestModelRejectsTwoWinners(t *testing.T) {
	create := call{resources.Precondition{MustNotExist: true}, 5}
	history := []porcupine.Operation{
		{ClientId: 0, Input: create, Call: 0, Output: answer{ok: true, version: 1}, Return: 10},
		{ClientId: 1, Input: create, Call: 5, Output: answer{ok: true, version: 2}, Return: 15},
	}
	if porcupine.CheckOperations(registerModel, history) {
		t.Fatal("two creations of one resource were accepted")
	}
}
