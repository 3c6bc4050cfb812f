package client

import (
	"net/http"

	"github.com/cactusreel/cactusreel/result"
)

// request is one call. Its path is relative to a server's base URL.
type request struct {
	method, path string
	header       http.Header
	body         []byte
	// lost is the code of a call whose answer did not arrive.
	lost result.Code
}
