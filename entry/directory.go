package entry

import (
	"context"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/proxy"
	"github.com/cactusreel/cactusreel/result"
)

// directory finds the entry VM that is the home of a cell. It implements
// proxy.Directory.
type directory struct {
	node *Node
}

// Home implements proxy.Directory.
func (d *directory) Home(cell dedup.Cell) (proxy.Home, bool) {
	if cell.DataCentre == d.node.settings.DataCentre {
		if home, ok := d.homeFromClaims(cell); ok {
			return home, true
		}
	}
	return d.homeFromSummaries(cell)
}

// homeFromClaims finds the home of a cell of this data centre in the state read
// from the claims stream.
func (d *directory) homeFromClaims(cell dedup.Cell) (proxy.Home, bool) {
	n := d.node
	claims := n.claims.Load()
	if claims == nil {
		return proxy.Home{}, false
	}
	views := claims.Views()
	if cell.Number < 0 || cell.Number >= len(views) {
		return proxy.Home{}, false
	}
	v := views[cell.Number]
	if v.OwnState != ownership.StateNone && v.OwnState != ownership.StateLost {
		return proxy.Home{VM: n.settings.VM, Term: v.OwnTerm}, true
	}
	p := n.peerByVM(v.Owner)
	if p == nil {
		return proxy.Home{}, false
	}
	return proxy.Home{VM: v.Owner, Address: p.client.Address.HostPort, Term: v.Term}, true
}

// homeFromSummaries finds the home of a cell in the peers' summaries. It is used
// for cells of other data centres, and for cells of this data centre whose home
// homeFromClaims does not find, for example because the claims have not been read
// yet. The highest term wins.
func (d *directory) homeFromSummaries(cell dedup.Cell) (proxy.Home, bool) {
	n := d.node
	var home proxy.Home
	for _, p := range n.peers {
		summary, ok := p.recentSummary(n.clock())
		if !ok {
			continue
		}
		for _, c := range summary.Cells {
			if c.DataCentre == cell.DataCentre && int(c.Cell) == cell.Number && c.Term > home.Term {
				home = proxy.Home{VM: summary.Vm, Address: p.client.Address.HostPort, Term: c.Term}
			}
		}
	}
	return home, home.VM != ""
}

// FreshCell implements proxy.Directory.
func (d *directory) FreshCell(random uint64) (dedup.Cell, bool) {
	n := d.node
	claims := n.claims.Load()
	if claims == nil {
		return dedup.Cell{}, false
	}
	// Cells that this VM holds are preferred to those that any VM owns.
	var candidates, fallback []int
	for _, v := range claims.Views() {
		switch {
		case v.OwnState == ownership.StateHeld || v.OwnState == ownership.StateVouched:
			candidates = append(candidates, v.Cell)
		case v.Owner != "":
			fallback = append(fallback, v.Cell)
		}
	}
	if len(candidates) == 0 {
		candidates = fallback
	}
	if len(candidates) == 0 {
		return dedup.Cell{}, false
	}
	return n.dedupCell(candidates[random%uint64(len(candidates))]), true
}

// acknowledger sends intents to the members that hold a copy of the request
// table. It implements proxy.Acknowledger.
type acknowledger struct {
	node *Node
}

// Acknowledge implements proxy.Acknowledger. The vm is the text form of a member.
func (a *acknowledger) Acknowledge(ctx context.Context, vm string, in dedup.Intent) error {
	m, err := parseMember(vm)
	if err != nil {
		return err
	}
	p := a.node.peerByVM(m.vm)
	if p == nil {
		return result.Errorf(result.PeerUnavailable, "no peer address is configured for %s", m.vm)
	}
	response, err := p.client.AcknowledgeIntent(ctx, &peerpb.IntentRequest{
		DataCentre:  in.Cell.DataCentre,
		Cell:        int32(in.Cell.Number),
		Term:        in.Term,
		RequestId:   in.ID,
		Fingerprint: in.Fingerprint,
		Incarnation: m.incarnation,
	})
	if err != nil {
		return result.Errorf(result.PeerUnavailable, "%s: %w", m.vm, err)
	}
	if !response.Acknowledged {
		return result.Errorf(result.Code(response.Code), "%s: %s", m.vm, response.Message)
	}
	return nil
}
