package operator

import "github.com/cactusreel/cactusreel/resources"

// WatchType is the type of a WatchLine.
type WatchType string

// Types of watch lines. A bookmark carries a version up to which all changes have
// been sent; an error is the last line of a watch.
const (
	WatchPut      WatchType = WatchType(resources.EventPut)
	WatchDelete   WatchType = WatchType(resources.EventDelete)
	WatchBookmark WatchType = "bookmark"
	WatchError    WatchType = "error"
)
