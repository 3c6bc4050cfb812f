package resources

import (
	"sort"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// View is the immutable state of a Store at one offset.
type View struct {
	offset int64
	kinds  map[api.Kind]*table
	// events holds every change with a version above oldestWatchVersion, in order.
	events             []Event
	oldestWatchVersion api.Version
	// superseded is closed when the Store publishes a newer view.
	superseded chan struct{}
}

// Offset returns the offset of the newest record that the view includes.
func (v *View) Offset() int64 {
	return v.offset
}

// Version returns the version from which a watch continues after a List of
// this view.
func (v *View) Version() api.Version {
	return api.Version(v.offset)
}

// Get returns a resource and whether it exists. The spec of the resource must
// not be modified.
func (v *View) Get(kind api.Kind, name string) (api.Resource, bool) {
	r := v.kinds[kind].get(name)
	if r == nil {
		return api.Resource{}, false
	}
	return *r, true
}

// List returns the resources of a kind in ascending order of name. Their
// specs must not be modified.
func (v *View) List(kind api.Kind) []api.Resource {
	sorted := v.kinds[kind].sorted()
	list := make([]api.Resource, 0, len(sorted))
	for _, r := range sorted {
		list = append(list, *r)
	}
	return list
}

// Len returns the number of resources of a kind.
func (v *View) Len(kind api.Kind) int {
	if t := v.kinds[kind]; t != nil {
		return t.size
	}
	return 0
}

// Events returns the changes of a kind, or of all kinds if kind is empty, with
// a version above since. The error has the code result.ListAgain if some of
// them are no longer retained. If since is above the view's version, there are
// no events.
func (v *View) Events(kind api.Kind, since api.Version) ([]Event, error) {
	if since < v.oldestWatchVersion {
		return nil, result.Errorf(result.ListAgain, "changes after version %d are no longer kept; the oldest version to watch from is %d", since, v.oldestWatchVersion)
	}
	first := sort.Search(len(v.events), func(i int) bool { return v.events[i].Version > since })
	var found []Event
	for _, e := range v.events[first:] {
		if kind == "" || e.Resource.Kind == kind {
			found = append(found, e)
		}
	}
	return found, nil
}

// Changed returns a channel that is closed when the Store publishes a newer view.
func (v *View) Changed() <-chan struct{} {
	return v.superseded
}
