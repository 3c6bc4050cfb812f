// Package record encodes and decodes the records in the streams of the platform
// log: claims/<data centre>, tasks/<data centre>/<cell> and resources.
//
// One log record holds one batch, which is a sequence of length-delimited
// recordpb.Record messages. The id of the log record is the text form of an ID.
// The claims and resources streams carry one record per batch, because the
// offset of a claim is its term and the offset of an operation is its version.
package record

//go:generate protoc --proto_path=recordpb --go_out=recordpb --go_opt=paths=source_relative record.proto
