package replay

import "github.com/cactusreel/cactusreel/api"

// resourceState is a resource with its kind and name, present or not.
type resourceState struct {
	Kind    api.Kind      `json:"kind"`
	Name    string        `json:"name"`
	Exists  bool          `json:"exists"`
	Version api.Version   `json:"version"`
	Content *api.Resource `json:"resource,omitempty"`
}
