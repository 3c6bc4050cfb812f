package writer

// Stats counts what a writer has done.
type Stats struct {
	// Batches counts the batches that were read back.
	Batches int64
	// Items counts the items of these batches.
	Items int64
	// Appends counts all appends, with repeats.
	Appends int64
	// Failures counts the appends that returned an error.
	Failures int64
	// Pending is the number of items that wait for a batch now.
	Pending int
}
