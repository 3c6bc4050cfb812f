// Package record encodes and decodes the records of the platform log's
// streams: claims/<data centre>, tasks/<data centre>/<cell> and resources.
//
// One log record holds one batch: a sequence of length-delimited
// recordpb.Record messages. The log record's id is the text form of an ID.
// The claims and resources streams carry one record per batch, because the
// offset of a claim is a term and the offset of an operation is a version.
package record

//go:generate protoc --proto_path=recordpb --go_out=recordpb --go_opt=paths=source_relative record.proto
