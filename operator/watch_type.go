package operator

import "github.com/cactusreel/cactusreel/resources"

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
