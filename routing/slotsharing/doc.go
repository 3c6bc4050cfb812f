// Command slotsharing simulates, in virtual time, two strategies by which the
// entry VMs of a data centre can share the slots of its workers:
//
//   - owner: each worker's slots belong to one entry VM, and the others send
//     requests there, one hop away. This runs the code of package routing.
//   - credits: the owner leases credits for slots to the entry VMs in
//     proportion to their recent demand, and each VM uses its own directly.
//
// Both get the same arrivals and service times. The model favours the credits:
// leases are transferred instantly, without message loss or delay.
//
// Usage: go run ./routing/slotsharing
package main
