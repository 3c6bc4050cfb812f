package formats_test

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"

	"github.com/cactusreel/cactusreel/formats"
)

const releasedFile = "testdata/released.binpb"

var release = flag.Bool("release", false, "write the present descriptors as those of the released version")

// Guards against a change of a message that a node of the released version misreads, or whose
// own messages this version misreads.
func TestCompatibleWithTheReleasedVersion(t *testing.T) {
	is := is.New(t)
	if *release {
		data, err := formats.Encode(formats.Present())
		is.NoErr(err)
		is.NoErr(os.WriteFile(releasedFile, data, 0o644))
	}
	data, err := os.ReadFile(releasedFile)
	is.NoErr(err)
	released, err := formats.Decode(data)
	is.NoErr(err)
	is.Equal(len(released.File), 4)
	for _, change := range formats.Incompatible(released, formats.Present()) {
		t.Error(change)
	}
}

func message(set *descriptorpb.FileDescriptorSet, pkg, name string) *descriptorpb.DescriptorProto {
	for _, f := range set.File {
		i := slices.IndexFunc(f.MessageType, func(m *descriptorpb.DescriptorProto) bool { return m.GetName() == name })
		if f.GetPackage() == pkg && i >= 0 {
			return f.MessageType[i]
		}
	}
	panic(name)
}

// Guards against a check that passes over an incompatible change.
func TestIncompatibleChangesAreFound(t *testing.T) {
	const ledger, records = "cactusreel.ledger.v1", "cactusreel.record.v1"
	type set = *descriptorpb.FileDescriptorSet
	for name, c := range map[string]struct {
		change func(set)
		want   string
	}{
		"type": {func(s set) {
			message(s, ledger, "Placed").Field[1].Type = descriptorpb.FieldDescriptorProto_TYPE_INT32.Enum()
		}, "number 2 of cactusreel.ledger.v1.Placed"},
		"name": {func(s set) { message(s, ledger, "Placed").Field[1].Name = proto.String("attempt") }, "number 2 of cactusreel.ledger.v1.Placed"},
		"cardinality": {func(s set) {
			message(s, ledger, "Placed").Field[1].Label = descriptorpb.FieldDescriptorProto_LABEL_REPEATED.Enum()
		}, "number 2 of cactusreel.ledger.v1.Placed"},
		"message type": {func(s set) {
			message(s, ledger, "Placed").Field[0].TypeName = proto.String(".cactusreel.ledger.v1.Suspect")
		}, "number 1 of cactusreel.ledger.v1.Placed"},
		"optional": {func(s set) { message(s, ledger, "Placed").Field[1].Proto3Optional = proto.Bool(true) }, "optional"},
		"number":   {func(s set) { message(s, ledger, "Placed").Field[1].Number = proto.Int32(99) }, "Placed.run is gone"},
		"oneof": {func(s set) {
			m := message(s, ledger, "Placed")
			m.OneofDecl = append(m.OneofDecl, &descriptorpb.OneofDescriptorProto{Name: proto.String("which")})
			m.Field[1].OneofIndex = proto.Int32(0)
		}, "in oneof which"},
		"field removed":      {func(s set) { m := message(s, ledger, "Placed"); m.Field = m.Field[1:] }, "number 1 is not reserved"},
		"reservation":        {func(s set) { message(s, ledger, "Record").ReservedRange = nil }, "number 6 of cactusreel.ledger.v1.Record is no longer reserved"},
		"message removed":    {func(s set) { s.File[0].MessageType = s.File[0].MessageType[1:] }, "message cactusreel.ledger.v1.Record is gone"},
		"enum value":         {func(s set) { s.File[2].EnumType[0].Value[1].Name = proto.String("X") }, "OUTCOME_COMPLETED is now X"},
		"enum value removed": {func(s set) { e := s.File[2].EnumType[0]; e.Value = e.Value[:2] }, "OUTCOME_FAILED of " + records},
		"call removed":       {func(s set) { v := s.File[1].Service[0]; v.Method = v.Method[1:] }, "call cactusreel.coordinator.v1.Coordinator.Lookup is gone"},
		"call changed":       {func(s set) { s.File[1].Service[0].Method[0].InputType = proto.String(".x") }, "Coordinator.Lookup: "},
		"service removed":    {func(s set) { s.File[1].Service = nil }, "service cactusreel.coordinator.v1.Coordinator is gone"},
		"file removed":       {func(s set) { s.File = s.File[1:] }, "package cactusreel.ledger.v1 is gone"},
	} {
		t.Run(name, func(t *testing.T) {
			changed := formats.Present()
			c.change(changed)
			found := formats.Incompatible(formats.Present(), changed)
			if !strings.Contains(strings.Join(found, "\n"), c.want) {
				t.Errorf("found %q, want %q", found, c.want)
			}
		})
	}
}

// Guards against a check that stands in the way of a compatible change.
func TestCompatibleChangesAreAllowed(t *testing.T) {
	is := is.New(t)
	changed := formats.Present()
	m := message(changed, "cactusreel.ledger.v1", "Placed")
	m.ReservedRange = append(m.ReservedRange, &descriptorpb.DescriptorProto_ReservedRange{Start: proto.Int32(7), End: proto.Int32(8)})
	m.Field[6].Number, m.Field[6].Name = proto.Int32(90), proto.String("new")
	changed.File[0].MessageType = append(changed.File[0].MessageType, &descriptorpb.DescriptorProto{Name: proto.String("New")})
	v := changed.File[1].Service[0]
	v.Method = append(v.Method, &descriptorpb.MethodDescriptorProto{Name: proto.String("New")})
	is.Equal(formats.Incompatible(formats.Present(), changed), nil)
}
