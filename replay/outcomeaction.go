package replay

import "github.com/cactusreel/cactusreel/resources"

// outcomeAction is the content of the action "Outcome": a resources.Outcome with
// the name of its code.
type outcomeAction struct {
	resources.Outcome
	Name      string `json:"name"`
	Duplicate bool   `json:"duplicate,omitempty"`
}
