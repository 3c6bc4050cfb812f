package workload

import (
	"errors"
	"fmt"
	"math"
)

// ErrInvalidTenants is wrapped by the errors of DeclareTenants.
var ErrInvalidTenants = errors.New("invalid tenants")

const (
	// DefaultWeight is the weight of a tenant that is declared without one, or with 0: a
	// tenant without any share would wait for ever while the workers are full.
	DefaultWeight = 1
	// MaxWeight limits the weight of a tenant, so that weights can be added up.
	MaxWeight = 1e9
)

// DeclareTenants returns the tenants of a list, or an error that wraps ErrInvalidTenants if
// names or keys are ambiguous or an amount is out of range. The error names tenants, not keys.
func DeclareTenants(list []Tenant) (Tenants, error) {
	names, keys := make(map[string]bool, len(list)), make(map[KeyDigest]string)
	for i := range list {
		t := &list[i]
		if t.Name == "" || names[t.Name] {
			return Tenants{}, fmt.Errorf("%w: tenant %d has the name %q, want one that no other has", ErrInvalidTenants, i, t.Name)
		}
		names[t.Name] = true
		if err := t.checkAmounts(); err != nil {
			return Tenants{}, err
		}
		for _, key := range t.Keys {
			if key == DigestOf("") {
				return Tenants{}, fmt.Errorf("%w: tenant %q has an empty key", ErrInvalidTenants, t.Name)
			}
			if other, taken := keys[key]; taken && other != t.Name {
				return Tenants{}, fmt.Errorf("%w: tenants %q and %q have a key in common", ErrInvalidTenants, other, t.Name)
			}
			keys[key] = t.Name
		}
		if t.Weight == 0 {
			t.Weight = DefaultWeight
		}
	}
	return NewTenants(list), nil
}

func (t *Tenant) checkAmounts() error {
	if math.IsNaN(t.Weight) || t.Weight < 0 || t.Weight > MaxWeight {
		return fmt.Errorf("%w: tenant %q has the weight %g, want 0 to %g", ErrInvalidTenants, t.Name, t.Weight, float64(MaxWeight))
	}
	if c := t.Cap; c.MilliCPU < 0 || c.MemoryMiB < 0 || c.Accelerators < 0 {
		return fmt.Errorf("%w: tenant %q has a negative cap", ErrInvalidTenants, t.Name)
	}
	return nil
}
