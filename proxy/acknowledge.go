package proxy

import (
	"context"
	"sync"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/result"
)

// acknowledge asks all required peers concurrently to record the intent. It
// returns an error only if a peer reports that the id has run already.
// dedup.Run.CheckSend decides whether missing acknowledgements prevent the send.
func (c *call) acknowledge(run *dedup.Run) error {
	missing := run.MissingAcknowledgements()
	if len(missing) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.p.cfg.Limits.AcknowledgeTimeout)
	defer cancel()
	errs := make([]error, len(missing))
	var wg sync.WaitGroup
	for i, vm := range missing {
		wg.Go(func() { errs[i] = c.p.cfg.Acknowledger.Acknowledge(ctx, vm, run.Intent()) })
	}
	wg.Wait()
	return c.recordAcknowledgements(run, missing, errs)
}

func (c *call) recordAcknowledgements(run *dedup.Run, vms []string, errs []error) error {
	var alreadyRan error
	for i, vm := range vms {
		if errs[i] == nil {
			run.PeerAcknowledged(vm)
			continue
		}
		if result.CodeOf(errs[i], result.OK) == result.OutcomeUnknown {
			alreadyRan = result.Errorf(result.OutcomeUnknown, "peer %s: %w", vm, errs[i])
			continue
		}
		run.PeerMissed(vm)
		c.p.cfg.OnEvent(Event{
			Kind: EventMissedAcknowledgement, Service: c.service.Name, Target: vm, Err: errs[i],
		})
	}
	return alreadyRan
}
