package dedup

import "github.com/cactusreel/cactusreel/result"

// BeginResult is a table's word on a request. With Code result.OK exactly one of
// Run, Answer and Wait is set; any other code is the answer to the caller.
// Code result.NotOwner means that this VM is not the id's home and that
// another may be.
type BeginResult struct {
	Code result.Code
	// Run means that the request is new and may run after Run.Start.
	Run *Run
	// Answer is the kept answer of the first run.
	Answer *Answer
	// Wait is closed when the first run ends; Begin must be called again then.
	Wait <-chan struct{}
}
