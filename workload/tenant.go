package workload

import (
	"crypto/sha256"

	"github.com/cactusreel/cactusreel/hostapi"
)

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept. A lookup by
// digest takes no time that depends on how much of a key matches.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is one of the customers that share the services of a deployment.
type Tenant struct {
	Name string
	// Keys are the digests of the API keys with which its callers identify themselves.
	Keys []KeyDigest
	// Weight is its share of the workers, relative to the weights of the other tenants,
	// while they are full.
	Weight float64
	// Cap limits what the tenant's runs request on all workers; 0 means no limit.
	Cap hostapi.Resources
}

// Tenants are the tenants of one version of a manifest.
type Tenants struct {
	all    []Tenant
	byName map[string]*Tenant
	byKey  map[KeyDigest]*Tenant
}

// NewTenants returns the tenants of a list with distinct names and keys.
func NewTenants(list []Tenant) Tenants {
	t := Tenants{all: list, byName: make(map[string]*Tenant, len(list)), byKey: make(map[KeyDigest]*Tenant)}
	for i := range list {
		t.byName[list[i].Name] = &list[i]
		for _, key := range list[i].Keys {
			t.byKey[key] = &list[i]
		}
	}
	return t
}

// Declared reports whether there are tenants.
func (t Tenants) Declared() bool { return len(t.all) > 0 }

// All returns the tenants in the order of the manifest.
func (t Tenants) All() []Tenant { return t.all }

// Find returns the tenant with a name, or nil.
func (t Tenants) Find(name string) *Tenant { return t.byName[name] }

// FindByKey returns the tenant that has a key, or nil.
func (t Tenants) FindByKey(key string) *Tenant { return t.byKey[DigestOf(key)] }
