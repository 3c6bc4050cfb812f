package operator

import (
	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
)

// Failure is the body of an answer with a code other than result.OK.
type Failure struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
	// Operation is the id to repeat the operation with, for writes.
	Operation string `json:"operation,omitempty"`
	// Version is the resource's version, for a write that was refused.
	Version api.Version `json:"version,omitempty"`
}

// List is the body of an answer to a list request.
type List struct {
	Kind api.Kind `json:"kind"`
	// Version is the version to watch from.
	Version api.Version    `json:"version"`
	Items   []api.Resource `json:"items"`
}

// Written is the body of an answer to a write that took effect.
type Written struct {
	Operation string   `json:"operation"`
	Kind      api.Kind `json:"kind"`
	Name      string   `json:"name"`
	// Version is the resource's new version; 0 if it was deleted.
	Version api.Version `json:"version"`
	// Duplicate is true if an earlier operation with the same id had this outcome.
	Duplicate bool `json:"duplicate,omitempty"`
}

// IssuedID is the body of an answer to POST /v1/request-ids.
type IssuedID struct {
	ID string `json:"id"`
}

// WatchType is the type of a line of a watch.
type WatchType string

// Watch line types. A bookmark names a version up to which there are no more
// changes; an error is the last line of a watch.
const (
	WatchPut      WatchType = WatchType(resources.EventPut)
	WatchDelete   WatchType = WatchType(resources.EventDelete)
	WatchBookmark WatchType = "bookmark"
	WatchError    WatchType = "error"
)

// WatchLine is one line of a watch.
type WatchLine struct {
	Type WatchType `json:"type"`
	// Version is the version to resume the watch from once the line has been
	// handled. Several lines can have the same version: all but the last of
	// them are followed by another line at once.
	Version  api.Version   `json:"version"`
	Resource *api.Resource `json:"resource,omitempty"`
	Failure  *Failure      `json:"failure,omitempty"`
}
