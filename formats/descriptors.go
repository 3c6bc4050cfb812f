package formats

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Present returns the descriptors of all stored and sent messages of this version.
func Present() *descriptorpb.FileDescriptorSet {
	set := &descriptorpb.FileDescriptorSet{}
	for _, file := range []protoreflect.FileDescriptor{
		ledgerpb.File_ledger_proto, coordpb.File_coordinator_proto, recordpb.File_record_proto, peerpb.File_peer_proto,
	} {
		set.File = append(set.File, protodesc.ToFileDescriptorProto(file))
	}
	return set
}

// Encode returns the encoding of a descriptor set, which is the same for equal sets.
func Encode(set *descriptorpb.FileDescriptorSet) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(set)
	if err != nil {
		return nil, fmt.Errorf("encode descriptors: %w", err)
	}
	return data, nil
}

// Decode is the inverse of Encode.
func Decode(data []byte) (*descriptorpb.FileDescriptorSet, error) {
	set := &descriptorpb.FileDescriptorSet{}
	if err := proto.Unmarshal(data, set); err != nil {
		return nil, fmt.Errorf("decode descriptors: %w", err)
	}
	return set, nil
}
