package standin

import (
	"fmt"
	"math"
	"time"
)

// maxTaskWork bounds the work of a task so that sums of durations do not overflow.
const maxTaskWork = time.Duration(math.MaxInt64 / 8)

type kindPair struct {
	kind      string
	neighbour string
}

// TaskKinds holds the specs of all task kinds and their interference. It is
// read-only.
type TaskKinds struct {
	specs        map[string]TaskKindSpec
	interference map[kindPair]float64
}

// NewTaskKinds returns the task kinds. Tasks of a kind without a spec behave as
// declared. A pair of kinds that is not listed does not interfere.
func NewTaskKinds(specs map[string]TaskKindSpec, interference []Interference) (*TaskKinds, error) {
	k := &TaskKinds{specs: make(map[string]TaskKindSpec), interference: make(map[kindPair]float64)}
	for name, spec := range specs {
		if spec.UsageFactor < 0 || spec.RunFactor < 0 {
			return nil, fmt.Errorf("kind %s has a negative factor", name)
		}
		k.specs[name] = spec
	}
	for _, i := range interference {
		if i.Slowdown < 0 {
			return nil, fmt.Errorf("interference of %s with %s is negative", i.Neighbour, i.Kind)
		}
		k.interference[kindPair{i.Kind, i.Neighbour}] = i.Slowdown
	}
	return k, nil
}

func (k *TaskKinds) usageFactor(kind string) float64 {
	return factorOrOne(k.specs[kind].UsageFactor)
}

// actualWork returns the actual work of a task with the given declared run time.
func (k *TaskKinds) actualWork(kind string, declared time.Duration) time.Duration {
	work := float64(declared) * factorOrOne(k.specs[kind].RunFactor)
	return time.Duration(min(work, float64(maxTaskWork)))
}

func (k *TaskKinds) failAfter(kind string) time.Duration {
	return time.Duration(k.specs[kind].FailAfter)
}

func (k *TaskKinds) interferenceSlowdown(kind, neighbour string) float64 {
	return k.interference[kindPair{kind, neighbour}]
}

func factorOrOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}
