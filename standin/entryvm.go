package standin

// EntryVM is an entry VM, with the address that its peers use.
type EntryVM struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}
