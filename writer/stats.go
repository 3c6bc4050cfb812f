package writer

// Stats holds the counters of a writer.
type Stats struct {
	// Batches counts the batches that were read back.
	Batches int64
	// Items counts the items of the batches that were read back.
	Items int64
	// Appends counts all appends, including retries.
	Appends int64
	// Failures counts the appends that returned an error.
	Failures int64
	// Pending is the number of items that are queued for a batch.
	Pending int
}
