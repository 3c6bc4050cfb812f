package resources

import "github.com/cactusreel/cactusreel/api"

// homesFor returns the homes of a service or job that is created in a view:
// the data centres in service, or all of them if none is. The rule depends on
// the view alone, so every reader derives the same first cells of tasks.
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
