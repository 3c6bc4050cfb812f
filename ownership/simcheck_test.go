package ownership

import (
	"fmt"
	"time"
)

// usage is the most slots that requests of a VM can occupy now: a request
// sent within the maximum request time may still run.
func (s *sim) usage(vm *simVM, number int) int {
	used := vm.used[number]
	for len(used) > 0 && used[0].at <= s.now-5*time.Second {
		used = used[1:]
	}
	vm.used[number] = used
	most := 0
	for _, use := range used {
		most = max(most, use.slots)
	}
	return most
}

// check verifies that no cell has two holders and no worker more requests
// than slots.
func (s *sim) check() error {
	for number := range simCells {
		holder, total := "", 0
		for _, vm := range s.vms {
			if vm.alive {
				clock := vm.clock(s.now)
				view := vm.machine.View(clock, number)
				if vm.paused <= s.now && !vm.drain[number] && view.Slots > 0 {
					vm.used[number] = append(vm.used[number], simUse{at: s.now, slots: view.Slots})
				}
				if clock < view.PlaceUntil {
					if holder != "" {
						return fmt.Errorf("cell %d is held by %s and %s", number, holder, vm.name)
					}
					holder = vm.name
					s.held++
				}
				if view.OwnState == StateVouched {
					s.vouched++
				}
			}
			total += s.usage(vm, number)
		}
		if total > SlotsPerWorker {
			return fmt.Errorf("cell %d: %d slots in use", number, total)
		}
	}
	return nil
}

// lateReadersAgree verifies that readers that start in the middle of the
// stream, as after a truncation, name the same owners as one that read it all.
func (s *sim) lateReadersAgree() error {
	all := s.reader(0)
	for first := 1; first < len(s.log); first += 7 {
		late := s.reader(first)
		for number := range simCells {
			got, want := late.View(0, number), all.View(0, number)
			if late.cells[number].unsettled || (got.Owner == want.Owner && got.Term == want.Term) {
				continue
			}
			return fmt.Errorf("reader from offset %d: cell %d is owned by %s term %d, want %s term %d",
				first+1, number, got.Owner, got.Term, want.Owner, want.Term)
		}
	}
	for number := range simCells {
		if len(s.log) > 100 && s.reader(len(s.log) / 2).cells[number].unsettled {
			return fmt.Errorf("cell %d is unsettled after half of the stream", number)
		}
	}
	return nil
}

func (s *sim) reader(first int) *Machine {
	m := New(DefaultConfig("reader", "giza", 1, simCells))
	for i, r := range s.log[first:] {
		m.Step(0, Applied{Offset: int64(first + i + 1), Record: r})
	}
	return m
}
