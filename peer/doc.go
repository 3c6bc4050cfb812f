// Package peer is the protocol between entry VMs: a Twirp service and its
// client. Requests of callers that hop between entry VMs do not use it; package
// proxy forwards those over plain HTTP.
//
// A call that fails leaves its outcome unknown. All calls are idempotent.
package peer

//go:generate protoc --proto_path=peerpb --go_out=peerpb --go_opt=paths=source_relative --twirp_out=peerpb --twirp_opt=paths=source_relative peer.proto
