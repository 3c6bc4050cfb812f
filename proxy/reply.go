package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cactusreel/cactusreel/result"
)

// retryAfterSeconds is sent with rejections that a later retry may overcome.
const retryAfterSeconds = "1"

// errorBody is the JSON body of the system's own responses.
type errorBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
}

// reject replies with an error's code. A "not run" code becomes "outcome
// unknown" if the request's id may have run before: only the home can tell.
func (c *call) reject(err error) {
	code := result.CodeOf(err, result.OutcomeUnknown)
	info, _ := result.Lookup(code)
	if info.Ran == "no" && !c.mayReject() && !ownFault(code) {
		err = result.Errorf(result.OutcomeUnknown, "the home of the request id was not asked: %w", err)
		code = result.OutcomeUnknown
	}
	c.reply(code, err.Error())
}

// ownFault reports whether a code says that the request itself can't run, at
// any time, or that this VM is the wrong one to ask.
func ownFault(code result.Code) bool {
	return code == result.NotRunBadRequest || code == result.NotRunTooLarge || code == result.NotOwner
}

func (c *call) reply(code result.Code, message string) {
	c.code = code
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	c.setOwnHeaders(h)
	if code == result.NotRunOverloaded || code == result.NotRunStopping {
		h.Set("Retry-After", retryAfterSeconds)
	}
	// Two strings and a number always have a JSON form.
	body, _ := json.Marshal(errorBody{Code: int(code), Name: code.String(), Message: message})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(code.HTTPStatus())
	// An error here means that the caller has left.
	_, _ = c.w.Write(body)
}

// setOwnHeaders sets the result, the request id and, while stopping, the end
// of the connection.
func (c *call) setOwnHeaders(h http.Header) {
	h.Set(HeaderResult, strconv.Itoa(int(c.code)))
	if c.id.Text != "" && c.hop.role != roleRun {
		h.Set(HeaderRequestID, c.id.Text)
	}
	if c.p.inFlight.draining.Load() {
		h.Set("Connection", "close")
	}
}
