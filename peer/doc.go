// Package peer is the protocol between entry VMs: a Twirp service and its
// client. Package proxy does not use it to forward the requests of callers;
// those are forwarded over plain HTTP.
//
// The outcome of a failed call is unknown. All calls are idempotent.
package peer

//go:generate protoc --proto_path=peerpb --go_out=peerpb --go_opt=paths=source_relative --twirp_out=peerpb --twirp_opt=paths=source_relative peer.proto
