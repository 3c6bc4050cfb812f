package ownership

import (
	"fmt"
	"time"
)

// maxSlotsInUse returns the highest number of slots that requests of a VM can
// occupy now: a request sent within the maximum request time may still be running.
func (s *sim) maxSlotsInUse(vm *simVM, number int) int {
	used := vm.slotUses[number]
	for len(used) > 0 && used[0].at <= s.now-5*time.Second {
		used = used[1:]
	}
	vm.slotUses[number] = used
	most := 0
	for _, use := range used {
		most = max(most, use.slots)
	}
	return most
}

// checkInvariants verifies that no cell has two holders and that no worker has
// more requests than slots.
func (s *sim) checkInvariants() error {
	for number := range simCells {
		holder, total := "", 0
		for _, vm := range s.vms {
			if vm.alive {
				clock := vm.clock(s.now)
				view := vm.machine.View(clock, number)
				if vm.pausedUntil <= s.now && !vm.draining[number] && view.Slots > 0 {
					vm.slotUses[number] = append(vm.slotUses[number], simSlotUse{at: s.now, slots: view.Slots})
				}
				if clock < view.PlaceUntil {
					if holder != "" {
						return fmt.Errorf("cell %d is held by %s and %s", number, holder, vm.name)
					}
					holder = vm.name
					s.heldCount++
				}
				if view.OwnState == StateVouched {
					s.vouchedCount++
				}
			}
			total += s.maxSlotsInUse(vm, number)
		}
		if total > SlotsPerWorker {
			return fmt.Errorf("cell %d: %d slots of a worker in use, more than it has", number, total)
		}
	}
	return nil
}

// lateReadersAgree verifies that readers that start in the middle of the stream,
// as after a truncation, determine the same owners as one that read all of it.
func (s *sim) lateReadersAgree() error {
	all := s.readerFrom(0)
	for first := 1; first < len(s.log); first += 7 {
		late := s.readerFrom(first)
		for number := range simCells {
			got, want := late.View(0, number), all.View(0, number)
			if late.cells[number].ownerUnresolved || (got.Owner == want.Owner && got.Term == want.Term) {
				continue
			}
			return fmt.Errorf("reader from offset %d: cell %d is owned by %s term %d, want %s term %d",
				first+1, number, got.Owner, got.Term, want.Owner, want.Term)
		}
	}
	for number := range simCells {
		if len(s.log) > 100 && s.readerFrom(len(s.log) / 2).cells[number].ownerUnresolved {
			return fmt.Errorf("owner of cell %d is unresolved after reading the second half of the stream", number)
		}
	}
	return nil
}

func (s *sim) readerFrom(first int) *Machine {
	m := New(DefaultConfig("reader", "giza", 1, simCells))
	for i, r := range s.log[first:] {
		m.Step(0, Applied{Offset: int64(first + i + 1), Record: r})
	}
	return m
}
