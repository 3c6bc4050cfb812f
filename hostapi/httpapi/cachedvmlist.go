package httpapi

import "github.com/cactusreel/cactusreel/hostapi"

// cachedVMList is a VM list with the entity tag of the response that contained
// it. The entity tag is "" if the response had none.
type cachedVMList struct {
	etag string
	vms  []hostapi.VM
}
