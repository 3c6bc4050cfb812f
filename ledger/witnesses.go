package ledger

import "github.com/cactusreel/cactusreel/ledger/ledgerpb"

// Witness is a process that witnesses that the owner of a cell is alive.
type Witness struct {
	VM          string
	PeerAddress string
	// Process is a number that is new with each process at the address.
	Process int64
}

// Witnesses are the witnesses of an owner. It grants leases only as far as a majority of them
// has confirmed that it is alive, so a successor that reaches a majority knows when the last
// one was granted.
type Witnesses struct {
	// Epoch is that of the owner.
	Epoch int64
	// Number orders the records of an epoch.
	Number int64
	All    []Witness
	// Reports: all of them keep the owner's reports of the workers' leases, and the owner
	// grants leases only as far as a majority holds a report of them.
	Reports bool
}

// Majority returns how many of the witnesses are a majority.
func (w *Witnesses) Majority() int { return len(w.All)/2 + 1 }

// Witnesses returns the recorded witnesses of the owner.
func (l *Ledger) Witnesses() Witnesses {
	if l.witnesses.Epoch != l.owner.Epoch {
		return Witnesses{Epoch: l.owner.Epoch}
	}
	return l.witnesses
}

// WitnessesRecord returns the record that names the witnesses of an owner.
func WitnessesRecord(w Witnesses) *ledgerpb.Record {
	return &ledgerpb.Record{Witnesses: w.message()}
}

func (w *Witnesses) message() *ledgerpb.Witnesses {
	r := &ledgerpb.Witnesses{Epoch: w.Epoch, Number: w.Number, Reports: w.Reports}
	for _, one := range w.All {
		r.Witnesses = append(r.Witnesses, &ledgerpb.Witness{Vm: one.VM, PeerAddress: one.PeerAddress, Process: one.Process})
	}
	return r
}

// applyWitnesses takes over a record unless a later one has been applied.
func (l *Ledger) applyWitnesses(r *ledgerpb.Witnesses) {
	if r.Epoch < l.witnesses.Epoch || r.Epoch == l.witnesses.Epoch && r.Number <= l.witnesses.Number {
		return
	}
	l.witnesses = Witnesses{Epoch: r.Epoch, Number: r.Number, Reports: r.Reports}
	for _, one := range r.Witnesses {
		l.witnesses.All = append(l.witnesses.All, Witness{VM: one.Vm, PeerAddress: one.PeerAddress, Process: one.Process})
	}
}
