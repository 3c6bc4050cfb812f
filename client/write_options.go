package client

import (
	"crypto/rand"

	"github.com/cactusreel/cactusreel/resources"
)

// WriteOptions holds the optional parameters of a write.
type WriteOptions struct {
	// OperationID identifies the operation. If it is empty, a new id is used.
	OperationID  string
	Precondition resources.Precondition
}

// NewOperationID returns a unique operation id.
func NewOperationID() string {
	return rand.Text()
}
