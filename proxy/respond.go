package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cactusreel/cactusreel/result"
)

// retryAfterSeconds is the Retry-After of rejections after which a retry may
// succeed.
const retryAfterSeconds = "1"

// errorBody is the JSON body of responses that the proxy itself generates.
type errorBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
}

// reject responds with the error's code. A "not run" code becomes "outcome
// unknown" if the request may have run before under its id: only the home of the
// id can tell.
func (c *call) reject(err error) {
	code := result.CodeOf(err, result.OutcomeUnknown)
	info, _ := result.Lookup(code)
	if info.Ran == "no" && !c.certainlyNotRun() && !isDefinitive(code) {
		err = result.Errorf(result.OutcomeUnknown, "the request may have run before under its id: %w", err)
		code = result.OutcomeUnknown
	}
	c.respond(code, err.Error())
}

// isDefinitive reports whether a code applies whether or not the id has run: the
// request can never run in this form, or this VM is not the home of the id.
func isDefinitive(code result.Code) bool {
	return code == result.NotRunBadRequest || code == result.NotRunTooLarge || code == result.NotOwner
}

func (c *call) respond(code result.Code, message string) {
	c.code = code
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	c.setProxyHeaders(h)
	if code == result.NotRunOverloaded || code == result.NotRunStopping {
		h.Set("Retry-After", retryAfterSeconds)
	}
	// Strings and integers can always be encoded.
	body, _ := json.Marshal(errorBody{Code: int(code), Name: code.String(), Message: message})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(code.HTTPStatus())
	// An error means that the caller has disconnected.
	_, _ = c.w.Write(body)
}

// setProxyHeaders sets the headers for the result code and the request id and,
// while this VM is stopping, Connection: close.
func (c *call) setProxyHeaders(h http.Header) {
	h.Set(HeaderResult, strconv.Itoa(int(c.code)))
	if c.id.Text != "" && c.hop.role != roleRun {
		h.Set(HeaderRequestID, c.id.Text)
	}
	if c.p.inFlight.draining.Load() {
		h.Set("Connection", "close")
	}
}
