// Package coordinator runs a node that accepts submissions and, for the cells
// that the group assigns to it, places their tasks on workers.
//
// It adds the log, the workers' and peers' clients, timers and goroutines
// around packages ledger and dispatch, which make the decisions. Each cell has
// one goroutine that owns its ledger.Book: it follows the cell's streams, and
// owns the cell while the node is assigned to it. Callers are answered by other
// goroutines from the Book's Index, which they read without a lock.
//
// The package knows no wire format: an adapter implements its interfaces.
package coordinator

//go:generate protoc --proto_path=coordpb --go_out=coordpb --go_opt=paths=source_relative --twirp_out=coordpb --twirp_opt=paths=source_relative coordinator.proto
