package operator

import "github.com/cactusreel/cactusreel/resources"

// Store gives the resources to read and watch. *resources.Store implements it.
type Store interface {
	View() *resources.View
}
