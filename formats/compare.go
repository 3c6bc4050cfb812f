package formats

import (
	"fmt"

	"google.golang.org/protobuf/types/descriptorpb"
)

// Incompatible returns the changes from an earlier set of descriptors that make a node of one
// version misread what a node of the other one writes. Messages, fields, values and calls may be
// added. A field or value may be removed if its number is reserved, a message or a call may not.
func Incompatible(before, after *descriptorpb.FileDescriptorSet) []string {
	c := &comparison{}
	files := byKey(after.File, (*descriptorpb.FileDescriptorProto).GetPackage)
	for _, file := range before.File {
		now, ok := files[file.GetPackage()]
		if !ok {
			c.report("package %s is gone", file.GetPackage())
			continue
		}
		if file.GetSyntax() != now.GetSyntax() {
			c.report("package %s: syntax %s is now %s", file.GetPackage(), file.GetSyntax(), now.GetSyntax())
		}
		c.messages(file.GetPackage(), file.MessageType, now.MessageType)
		c.enums(file.GetPackage(), file.EnumType, now.EnumType)
		c.services(file.GetPackage(), file.Service, now.Service)
	}
	return c.changes
}

type comparison struct{ changes []string }

func (c *comparison) report(format string, values ...any) {
	c.changes = append(c.changes, fmt.Sprintf(format, values...))
}

func byKey[K comparable, V any](list []V, key func(V) K) map[K]V {
	out := make(map[K]V, len(list))
	for _, v := range list {
		out[key(v)] = v
	}
	return out
}

func (c *comparison) messages(scope string, before, after []*descriptorpb.DescriptorProto) {
	present := byKey(after, (*descriptorpb.DescriptorProto).GetName)
	for _, m := range before {
		name := scope + "." + m.GetName()
		now, ok := present[m.GetName()]
		if !ok {
			c.report("message %s is gone", name)
			continue
		}
		c.fields(name, m, now)
		c.reservations(name, m, now)
		c.messages(name, m.NestedType, now.NestedType)
		c.enums(name, m.EnumType, now.EnumType)
	}
}

func (c *comparison) fields(message string, before, after *descriptorpb.DescriptorProto) {
	present := byKey(after.Field, (*descriptorpb.FieldDescriptorProto).GetNumber)
	for _, f := range before.Field {
		now, ok := present[f.GetNumber()]
		if !ok {
			if !isReserved(after, f.GetNumber()) {
				c.report("field %s.%s is gone and its number %d is not reserved", message, f.GetName(), f.GetNumber())
			}
			continue
		}
		if was, is := describe(before, f), describe(after, now); was != is {
			c.report("number %d of %s: %s is now %s", f.GetNumber(), message, was, is)
		}
	}
}

// describe returns all of a field that both sides have to agree on.
func describe(m *descriptorpb.DescriptorProto, f *descriptorpb.FieldDescriptorProto) string {
	out := fmt.Sprintf("%s %s %s%s", f.GetLabel(), f.GetType(), f.GetName(), f.GetTypeName())
	if f.GetProto3Optional() {
		return out + " optional"
	}
	if f.OneofIndex != nil {
		out += " in oneof " + m.OneofDecl[f.GetOneofIndex()].GetName()
	}
	return out
}

// reservations reports numbers that are no longer reserved.
func (c *comparison) reservations(message string, before, after *descriptorpb.DescriptorProto) {
	for _, r := range before.ReservedRange {
		for number := r.GetStart(); number < r.GetEnd(); number++ {
			if !isReserved(after, number) {
				c.report("number %d of %s is no longer reserved", number, message)
			}
		}
	}
}

func isReserved(m *descriptorpb.DescriptorProto, number int32) bool {
	for _, r := range m.ReservedRange {
		if r.GetStart() <= number && number < r.GetEnd() {
			return true
		}
	}
	return false
}

func (c *comparison) enums(scope string, before, after []*descriptorpb.EnumDescriptorProto) {
	present := byKey(after, (*descriptorpb.EnumDescriptorProto).GetName)
	for _, e := range before {
		name := scope + "." + e.GetName()
		now, ok := present[e.GetName()]
		if !ok {
			c.report("enum %s is gone", name)
			continue
		}
		values := byKey(now.Value, (*descriptorpb.EnumValueDescriptorProto).GetNumber)
		for _, v := range e.Value {
			is, ok := values[v.GetNumber()]
			switch {
			case !ok && !isValueReserved(now, v.GetNumber()):
				c.report("value %s of %s is gone and its number %d is not reserved", v.GetName(), name, v.GetNumber())
			case ok && is.GetName() != v.GetName():
				c.report("number %d of %s: %s is now %s", v.GetNumber(), name, v.GetName(), is.GetName())
			}
		}
	}
}

func isValueReserved(e *descriptorpb.EnumDescriptorProto, number int32) bool {
	for _, r := range e.ReservedRange {
		// Unlike that of a message, the range of an enum includes its end.
		if r.GetStart() <= number && number <= r.GetEnd() {
			return true
		}
	}
	return false
}

func (c *comparison) services(scope string, before, after []*descriptorpb.ServiceDescriptorProto) {
	present := byKey(after, (*descriptorpb.ServiceDescriptorProto).GetName)
	for _, s := range before {
		name := scope + "." + s.GetName()
		now, ok := present[s.GetName()]
		if !ok {
			c.report("service %s is gone", name)
			continue
		}
		methods := byKey(now.Method, (*descriptorpb.MethodDescriptorProto).GetName)
		for _, m := range s.Method {
			is, ok := methods[m.GetName()]
			switch {
			case !ok:
				c.report("call %s.%s is gone", name, m.GetName())
			case signature(m) != signature(is):
				c.report("call %s.%s: %s is now %s", name, m.GetName(), signature(m), signature(is))
			}
		}
	}
}

func signature(m *descriptorpb.MethodDescriptorProto) string {
	return fmt.Sprintf("(%s, stream %t) (%s, stream %t)", m.GetInputType(), m.GetClientStreaming(), m.GetOutputType(), m.GetServerStreaming())
}
