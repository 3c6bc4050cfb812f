package replay

// slotUse is the content of the action "Slot".
type slotUse struct {
	Request string `json:"request"`
	Valid   bool   `json:"valid"`
}
