// Package witness has the rules of the processes that witness that the owner of a cell is alive:
// which an owner has, which leases it may grant, what they keep and answer, and what its successor may
// conclude from that. It does no I/O; times are those of a clock of the caller's process.
package witness
