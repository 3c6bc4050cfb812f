package standin

// EntryVM is an entry VM with its peer address.
type EntryVM struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}
