package dedup

import "github.com/cactusreel/cactusreel/result"

// BeginResult is a table's decision on a request. With Code result.OK exactly
// one of Run, Answer and Wait is set; any other code is the answer to the
// caller. Code result.NotOwner means that this VM is not the id's home and
// that another VM may be.
type BeginResult struct {
	Code result.Code
	// Run is set if the request is new. It may be sent after Run.CheckSend has
	// returned result.OK.
	Run *Run
	// Answer is the stored answer of the first run.
	Answer *Answer
	// Wait is closed when the first run ends. Begin must then be called again.
	Wait <-chan struct{}
}
