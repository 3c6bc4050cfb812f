package standin

import (
	"fmt"
	"math"
	"time"
)

// maxWork bounds the work of a task, so that sums of times do not overflow.
const maxWork = time.Duration(math.MaxInt64 / 8)

type kindPair struct {
	kind   string
	beside string
}

// TaskKinds holds the specs of all kinds and how they interfere. It is read-only.
type TaskKinds struct {
	specs map[string]TaskKindSpec
	pairs map[kindPair]float64
}

// NewTaskKinds returns the kinds. A kind without a spec behaves as declared, and a
// pair that is not listed does not interfere.
func NewTaskKinds(specs map[string]TaskKindSpec, interference []Interference) (*TaskKinds, error) {
	k := &TaskKinds{specs: make(map[string]TaskKindSpec), pairs: make(map[kindPair]float64)}
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
		k.pairs[kindPair{i.Kind, i.Neighbour}] = i.Slowdown
	}
	return k, nil
}

func (k *TaskKinds) usageFactor(kind string) float64 {
	return orOne(k.specs[kind].UsageFactor)
}

// work returns the real work of a task with the given stated run time.
func (k *TaskKinds) work(kind string, stated time.Duration) time.Duration {
	work := float64(stated) * orOne(k.specs[kind].RunFactor)
	return time.Duration(min(work, float64(maxWork)))
}

func (k *TaskKinds) failAfter(kind string) time.Duration {
	return time.Duration(k.specs[kind].FailAfter)
}

func (k *TaskKinds) slowdown(kind, beside string) float64 {
	return k.pairs[kindPair{kind, beside}]
}

func orOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}
