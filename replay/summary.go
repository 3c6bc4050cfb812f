package replay

// Summary counts what a replay has done.
type Summary struct {
	Events   int
	Outcomes int
}
