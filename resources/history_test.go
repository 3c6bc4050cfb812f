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

// registerInput is the input of an operation in the history: a conditional
// write (tasks > 0) or a read.
type registerInput struct {
	precondition resources.Precondition
	tasks        int
}

// registerOutput is the output of an operation in the history.
type registerOutput struct {
	ok      bool
	version api.Version
	tasks   int
}

// registerState is the state of the sequential specification: one resource
// with a version.
type registerState struct {
	version api.Version
	tasks   int
}

// registerModel is the sequential specification that operations must satisfy,
// independent of the log: a write succeeds if and only if its precondition
// holds, each successful write increases the version, and a read returns the
// newest state.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		r, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		if in.tasks == 0 {
			return out.version == r.version && out.tasks == r.tasks, r
		}
		p := in.precondition
		holds := (!p.MustNotExist || r.version == 0) && (p.Version == 0 || p.Version == r.version)
		if !holds || !out.ok {
			return holds == out.ok && out.version == r.version, r
		}
		return out.version > r.version, registerState{out.version, in.tasks}
	},
}

// sequencer replaces the log: it assigns each record an offset and applies it
// to the store. If repeat is set, the operation is applied again in a second
// record, as after a repeated append.
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

// runConditionalWriter alternates reads and writes. Most writes are
// conditional on the version of the preceding read; a third of the writes are
// applied twice.
func runConditionalWriter(s *sequencer, writer int, started time.Time, record func(porcupine.Operation)) {
	random := rand.New(rand.NewPCG(7, uint64(writer)))
	for i := range 30 {
		begin := time.Since(started).Nanoseconds()
		current, _ := s.store.View().Get(api.KindJob, "a")
		read := registerOutput{true, current.Version, 0}
		if current.Job != nil {
			read.tasks = current.Job.Tasks
		}
		record(porcupine.Operation{ClientId: writer, Input: registerInput{}, Call: begin, Output: read, Return: time.Since(started).Nanoseconds()})

		in := registerInput{resources.Precondition{Version: current.Version, MustNotExist: current.Version == 0}, 1 + random.IntN(1000)}
		if random.IntN(5) == 0 {
			in.precondition = resources.Precondition{}
		}
		op := putOperation(fmt.Sprintf("%d-%d", writer, i), job("a", in.tasks), in.precondition)
		begin = time.Since(started).Nanoseconds()
		outcome := s.submit(op, random.IntN(3) == 0)
		out := registerOutput{ok: outcome.Code == result.OK, version: outcome.Version}
		record(porcupine.Operation{ClientId: writer, Input: in, Call: begin, Output: out, Return: time.Since(started).Nanoseconds()})
	}
}

// Guards against concurrent conditional writes of which both or none succeed,
// against lost updates, and against stale reads after a completed write. Every
// interleaving must satisfy the model, so the test result does not depend on
// timing.
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
		writers.Go(func() { runConditionalWriter(s, writer, started, record) })
	}
	writers.Wait()
	if !porcupine.CheckOperations(registerModel, history) {
		t.Fatalf("history of %d operations is not linearizable", len(history))
	}
}

// Guards against a model that accepts every history: it must reject two
// successful creations of one resource.
func TestModelRejectsTwoSuccessfulCreates(t *testing.T) {
	create := registerInput{resources.Precondition{MustNotExist: true}, 5}
	history := []porcupine.Operation{
		{ClientId: 0, Input: create, Call: 0, Output: registerOutput{ok: true, version: 1}, Return: 10},
		{ClientId: 1, Input: create, Call: 5, Output: registerOutput{ok: true, version: 2}, Return: 15},
	}
	if porcupine.CheckOperations(registerModel, history) {
		t.Fatal("two creations of one resource were accepted")
	}
}
