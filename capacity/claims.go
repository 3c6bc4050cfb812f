package capacity

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// claimsReader is an ownership machine that applies the claims stream of a data
// centre. records holds one renewal of each VM.
type claimsReader struct {
	machine *ownership.Machine
	records []*recordpb.Record
	offset  int64
	now     time.Duration
}

// newClaimsReader returns a reader of a data centre in which every VM has joined
// and owns an equal share of the cells. The reader is VM 0.
func newClaimsReader(vms int) (*claimsReader, error) {
	c := &claimsReader{now: startTime}
	c.machine = ownership.New(ownership.DefaultConfig(vmName(0), dataCentreName(0), 1, cellsPerDataCentre))
	for i := range vms {
		c.apply(&recordpb.Record{Join: &recordpb.Join{Vm: vmName(i), Incarnation: uint64(i + 1)}})
	}
	renewals := make([]*recordpb.Renew, vms)
	for i := range vms {
		renewals[i] = &recordpb.Renew{Vm: vmName(i), Incarnation: uint64(i + 1), Joined: int64(i + 1), Synced: syncedMembers()}
	}
	for cell := range cellsPerDataCentre {
		vm := cell % vms
		c.apply(&recordpb.Record{Claim: &recordpb.Claim{Vm: vmName(vm), Incarnation: uint64(vm + 1), Joined: int64(vm + 1), Cell: int32(cell), Number: uint64(cell + 1)}})
		renewals[vm].Cells = append(renewals[vm].Cells, &recordpb.CellTerm{Cell: int32(cell), Term: c.offset})
	}
	for cell := range cellsPerDataCentre {
		if v := c.machine.View(c.now, cell); v.Owner != vmName(cell%vms) {
			return nil, fmt.Errorf("cell %d is owned by %q", cell, v.Owner)
		}
	}
	for _, renewal := range renewals {
		c.records = append(c.records, &recordpb.Record{Renew: renewal})
	}
	return c, nil
}

func vmName(i int) string {
	return fmt.Sprintf("%s-entry-%d", dataCentreName(0), i)
}

func syncedMembers() []string {
	var list []string
	for i := range 2 {
		list = append(list, fmt.Sprintf("%s#%016x", vmName(i+1), uint64(i+1)<<40))
	}
	return list
}

func (c *claimsReader) apply(r *recordpb.Record) {
	c.offset++
	c.machine.Step(c.now, ownership.Applied{Offset: c.offset, Record: r})
}

// measureClaims measures an applied renewal and a tick by the number of entry VMs.
func measureClaims(r *Report) error {
	var renewals, ticks []Point
	for _, vms := range []int{4, 8, 16, 32} {
		c, err := newClaimsReader(vms)
		if err != nil {
			return err
		}
		ticks = append(ticks, Point{float64(vms), costPerCall(func(int) { c.machine.Step(c.now, ownership.Tick{}) })})
		renewals = append(renewals, Point{float64(vms), costPerCall(func(i int) { c.apply(c.records[i%vms]) })})
	}
	r.addSlope("ownership machine of 16 cells: applied renewal", "entry VM", "ns", renewals)
	r.addSlope("ownership machine of 16 cells: tick", "entry VM", "ns", ticks)
	return nil
}
