package client

import (
	"net/http"

	"github.com/cactusreel/cactusreel/result"
)

// request is one HTTP request. Its path is relative to a server's base URL.
type request struct {
	method, path string
	header       http.Header
	body         []byte
	// lostCode is the result code if the request was sent and its response was
	// lost.
	lostCode result.Code
}
