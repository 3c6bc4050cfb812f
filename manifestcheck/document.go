package manifestcheck

import (
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// Document is a manifest with the places of its entries.
type Document struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Tenants  []Tenant
	Limits   Limits
}

// Queue is a queue at its place.
type Queue struct {
	workload.Queue
	At Position
}

// Service is a service at its place.
type Service struct {
	Name string
	// Standby is true if its workers are off.
	Standby bool
	// Connections limits the connections to each worker; 0 means that none is stated.
	Connections int64
	At          Position
}

// Tenant is a tenant at its place.
type Tenant struct {
	workload.Tenant
	At Position
}

// Limits are the limits of callers' requests; 0 stands for none.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
	At                         Position
}
