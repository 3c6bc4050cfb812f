package resources

import "github.com/cactusreel/cactusreel/api"

// homesFor returns the homes of a service or job that is created in view v:
// the data centres in service, or all data centres if none is in service. The
// result depends only on the view, so every reader derives the same initial
// cells for the tasks.
func homesFor(v *View, kind api.Kind) []api.Home {
	if kind != api.KindService && kind != api.KindJob {
		return nil
	}
	var all, inService []api.Home
	for _, r := range v.List(api.KindDataCentre) {
		home := api.Home{DataCentre: r.Name, Cells: r.DataCentre.Cells}
		all = append(all, home)
		if r.DataCentre.InService {
			inService = append(inService, home)
		}
	}
	if len(inService) == 0 {
		return all
	}
	return inService
}
