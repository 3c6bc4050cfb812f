package api

// Meta identifies a resource.
type Meta struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is set by the system.
	Version Version `json:"version,omitempty"`
	// Created is the version of the record that created the resource.
	Created Version `json:"created,omitempty"`
}
