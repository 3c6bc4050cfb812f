package coordinator

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a node that reads other streams than a node of the released version
// (docs/formats.md, "Where they are kept").
func TestStreamsAreThoseOfTheReleasedVersion(t *testing.T) {
	is := is.New(t)
	c := &cell{number: 2}
	is.Equal(c.intakeStream(), Stream{Topic: "intake", Partition: 2})
	is.Equal(c.cellStream(), Stream{Topic: "cells", Partition: 2})
}
