package operator

import "github.com/cactusreel/cactusreel/resources"

// Store provides the resources for reads and watches. *resources.Store implements it.
type Store interface {
	View() *resources.View
}
