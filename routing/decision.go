package routing

import "github.com/cactusreel/cactusreel/result"

// Decision is the outcome of Router.Choose.
type Decision struct {
	// Code is result.OK if the request may be sent, otherwise the NotRun code
	// that says why not.
	Code result.Code
	// Service is the service, unless Code is result.NotRunNoService.
	Service *Service
	// Slot is acquired if Peer is nil and Code is result.OK. The caller of
	// Choose must then call Release, Abandon or AbandonCharged.
	Slot Slot
	// Peer is the cell owner to forward the request to, or nil.
	Peer *Peer
}
