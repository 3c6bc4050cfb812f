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

// Kinds holds the specs of all kinds and how they interfere. It is read-only.
type Kinds struct {
	specs map[string]KindSpec
	pairs map[kindPair]float64
}

// NewKinds returns the kinds. A kind without a spec behaves as declared, and a
// pair that is not listed does not interfere.
func NewKinds(specs map[string]KindSpec, interference []Interference) (*Kinds, error) {
	k := &Kinds{specs: make(map[string]KindSpec), pairs: make(map[kindPair]float64)}
	for name, spec := range specs {
		if spec.UsageFactor < 0 || spec.RunFactor < 0 {
			return nil, fmt.Errorf("kind %s has a negative factor", name)
		}
		k.specs[name] = spec
	}
	for _, i := range interference {
		if i.Slowdown < 0 {
			return nil, fmt.Errorf("interference of %s with %s is negative", i.Beside, i.Kind)
		}
		k.pairs[kindPair{i.Kind, i.Beside}] = i.Slowdown
	}
	return k, nil
}

func (k *Kinds) usageFactor(kind string) float64 {
	return orOne(k.specs[kind].UsageFactor)
}

// work returns the real work of a task with the given stated run time.
func (k *Kinds) work(kind string, stated time.Duration) time.Duration {
	work := float64(stated) * orOne(k.specs[kind].RunFactor)
	return time.Duration(min(work, float64(maxWork)))
}

func (k *Kinds) failAfter(kind string) time.Duration {
	return time.Duration(k.specs[kind].FailAfter)
}

func (k *Kinds) slowdown(kind, beside string) float64 {
	return k.pairs[kindPair{kind, beside}]
}

func orOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}
