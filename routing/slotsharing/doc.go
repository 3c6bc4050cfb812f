// Command slotsharing compares two ways in which the entry VMs of a data
// centre can share the slots of its workers, in virtual time:
//
//   - owner: each worker's slots belong to one entry VM, and the others send
//     requests there, one hop away. This runs the code of package routing.
//   - credits: the owner leases credits for slots to the entry VMs in
//     proportion to their recent demand, and each VM uses its own directly.
//
// Both see the same arrivals and service times. The credits are modelled to
// their advantage: a lease changes hands at once, without loss or delay.
//
// Usage: go run ./routing/slotsharing
package main
