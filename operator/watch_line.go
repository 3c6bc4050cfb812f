package operator

import "github.com/cactusreel/cactusreel/api"

// WatchLine is one line in the response to a watch.
type WatchLine struct {
	Type WatchType `json:"type"`
	// Version is the version of the change; 0 for an error.
	Version api.Version `json:"version,omitempty"`
	// Resume is the version to watch from after this line has been handled.
	// It is below Version while other changes with the same version follow.
	Resume   api.Version   `json:"resume,omitempty"`
	Resource *api.Resource `json:"resource,omitempty"`
	Failure  *Failure      `json:"failure,omitempty"`
}
