package resources

// outcomeWindow keeps the outcomes of the newest operations. The oldest are
// dropped first, so the content depends on the log alone.
type outcomeWindow struct {
	limit int
	// order holds the outcomes from the oldest to the newest.
	order []keptOutcome
	byID  map[string]keptOutcome
}

func newOutcomeWindow(limit int) *outcomeWindow {
	return &outcomeWindow{limit: limit, byID: make(map[string]keptOutcome)}
}

// find returns the outcome kept for an id.
func (w *outcomeWindow) find(id string) (keptOutcome, bool) {
	o, ok := w.byID[id]
	return o, ok
}

// add keeps an outcome whose id is not empty and not kept yet.
func (w *outcomeWindow) add(o keptOutcome) {
	w.order = append(w.order, o)
	w.byID[o.ID] = o
	if len(w.order) > w.limit {
		delete(w.byID, w.order[0].ID)
		w.order = w.order[1:]
	}
}
