package trace

import "github.com/cactusreel/cactusreel/resources"

// Operation is the form of resources.Operation in a trace. The body is a string
// and not base64, because it is JSON that people read and write.
type Operation struct {
	ID           string                 `json:"id,omitempty"`
	Verb         resources.Verb         `json:"verb"`
	Kind         string                 `json:"kind"`
	Name         string                 `json:"name"`
	Precondition resources.Precondition `json:"precondition"`
	Body         string                 `json:"body,omitempty"`
}
