package resources

// outcomeWindow retains the outcomes of the newest operations. It evicts the
// oldest first, so its content depends only on the log.
type outcomeWindow struct {
	limit       int
	oldestFirst []retainedOutcome
	byID        map[string]retainedOutcome
}

func newOutcomeWindow(limit int) *outcomeWindow {
	return &outcomeWindow{limit: limit, byID: make(map[string]retainedOutcome)}
}

// find returns the outcome retained for an id.
func (w *outcomeWindow) find(id string) (retainedOutcome, bool) {
	o, ok := w.byID[id]
	return o, ok
}

// add retains an outcome. Its id must not be empty or already retained.
func (w *outcomeWindow) add(o retainedOutcome) {
	w.oldestFirst = append(w.oldestFirst, o)
	w.byID[o.ID] = o
	if len(w.oldestFirst) > w.limit {
		delete(w.byID, w.oldestFirst[0].ID)
		w.oldestFirst = w.oldestFirst[1:]
	}
}
