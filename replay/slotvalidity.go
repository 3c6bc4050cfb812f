package replay

// slotValidity is the content of the action "Slot".
type slotValidity struct {
	Request string `json:"request"`
	Valid   bool   `json:"valid"`
}
