// Package coordinator runs a node that accepts submissions and, for the cells
// that the group assigns to it, places their tasks on workers.
//
// It adds I/O, timers and goroutines to packages ledger and dispatch, which make
// the decisions. Each cell has one goroutine, the only one that changes the
// cell's ledger.Ledger: it reads the cell's streams, and owns the cell while the
// cell is assigned to the node. Requests of callers are handled by other
// goroutines, which read the ledger's Index without a lock.
//
// The package is independent of the platform's wire formats: an adapter
// implements its interfaces.
package coordinator

//go:generate protoc --proto_path=coordpb --go_out=coordpb --go_opt=paths=source_relative --twirp_out=coordpb --twirp_opt=paths=source_relative coordinator.proto
