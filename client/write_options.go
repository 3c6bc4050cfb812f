package client

import (
	"crypto/rand"

	"github.com/cactusreel/cactusreel/resources"
)

// WriteOptions qualifies a write.
type WriteOptions struct {
	// OperationID identifies the operation; an empty one is replaced by a new id.
	OperationID  string
	Precondition resources.Precondition
}

// NewOperationID returns an id that no other operation has.
func NewOperationID() string {
	return rand.Text()
}
