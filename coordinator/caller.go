package coordinator

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
)

// ErrHidden means that the submission with the id is that of another tenant or to another queue.
// To the caller it doesn't exist.
var ErrHidden = fmt.Errorf("%w that the caller may see", ErrNoSubmission)

// Caller says which submissions a caller may see and cancel. The zero value stands for all.
type Caller struct {
	// Tenant is the name of the caller's tenant, or "" if the queue needs no key.
	Tenant string
	// Queue is the name of the queue that the call names. Nodes of earlier versions name none
	// where no tenants are declared.
	Queue string
}

// maySee reports whether the caller may see a submission of a tenant to a queue: one to the same
// queue, unless it is another tenant's. Those without a tenant come from public queues, or from
// before tenants were declared. A queue that has become public shows what its callers submitted
// while they had keys. The queue of a submission is "" if an earlier version kept only its end.
func (c Caller) maySee(tenant, queue string) bool {
	if c.Queue != "" && queue != "" && c.Queue != queue {
		return false
	}
	return tenant == "" || c.Tenant == "" || c.Tenant == tenant
}

// acceptance is what a node knows of a submission that it accepted and has not read yet.
type acceptance struct {
	at       time.Duration
	identity ledger.Identity
	// decided: the owner has said that the submission has its id.
	decided bool
}

// isHidden reports whether the local copy has a submission that a caller may not see.
func (c *cell) isHidden(caller Caller, id string) bool {
	if e := c.ledger().Find(id); e != nil {
		return !caller.maySee(e.Tenant, e.Queue)
	}
	if a, ok := c.recentlyAccepted.Load(id); ok {
		known := a.(acceptance).identity
		return !caller.maySee(known.Tenant, known.Queue)
	}
	return false
}
