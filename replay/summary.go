package replay

// Summary counts the event lines and outcome lines that a replay processed.
type Summary struct {
	Events   int
	Outcomes int
}
