package httpapi

import "github.com/cactusreel/cactusreel/hostapi"

// taggedList is a VM list with the entity tag of the answer that brought it;
// the tag is "" if the platform gives none.
type taggedList struct {
	tag string
	vms []hostapi.VM
}
