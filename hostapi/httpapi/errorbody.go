package httpapi

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
)

// HeaderResult carries the number of the result code.
const HeaderResult = "Cactusreel-Result"

// refusal links an error value of package hostapi to its form on the wire.
type refusal struct {
	err    error
	code   result.Code
	reason Reason
}

var refusals = []refusal{
	{hostapi.ErrLowerTerm, result.WorkerRefused, ReasonLowerTerm},
	{hostapi.ErrDeadlinePassed, result.WorkerRefused, ReasonDeadlinePassed},
	{hostapi.ErrOtherBoot, result.WorkerRefused, ReasonOtherBoot},
	{hostapi.ErrNoRoom, result.WorkerRefused, ReasonNoRoom},
	{hostapi.ErrNoAttempt, result.WorkerRefused, ReasonNoAttempt},
	{hostapi.ErrOldAttempt, result.WorkerRefused, ReasonOldAttempt},
	{hostapi.ErrTruncated, result.ListAgain, ReasonTruncated},
}

// ErrorBody is the JSON body of every answer that is not a success.
type ErrorBody struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
	Reason  Reason      `json:"reason,omitempty"`
}

// NewErrorBody returns the wire form of err. An error without a result code
// gets fallback.
func NewErrorBody(err error, fallback result.Code) ErrorBody {
	code := result.CodeOf(err, fallback)
	body := ErrorBody{Code: code, Name: code.String(), Message: err.Error()}
	for _, r := range refusals {
		if !errors.Is(err, r.err) {
			continue
		}
		body.Code = r.code
		body.Name = r.code.String()
		body.Reason = r.reason
		break
	}
	return body
}

// Err returns the error that the body describes. It wraps the hostapi.Err
// value that the code and the reason name; both must match.
func (b ErrorBody) Err() error {
	for _, r := range refusals {
		if b.Code == r.code && b.Reason == r.reason {
			return result.Errorf(b.Code, "%s: %w", b.Message, r.err)
		}
	}
	return result.Errorf(b.Code, "%s", b.Message)
}

// DecodeErrorBody parses the body of an answer with the given HTTP status. A
// body that is not an ErrorBody with a known code leads to an error that
// wraps none of the hostapi.Err values: such an answer proves nothing about
// the command's effect.
func DecodeErrorBody(status int, data []byte) error {
	var body ErrorBody
	err := decodeJSON(data, &body)
	if err != nil {
		return fmt.Errorf("HTTP status %d without a readable error body: %w", status, err)
	}
	_, known := result.Lookup(body.Code)
	if !known || body.Code == result.OK {
		return fmt.Errorf("HTTP status %d with unknown result code %d", status, int(body.Code))
	}
	if body.Code.HTTPStatus() != status {
		return fmt.Errorf("HTTP status %d does not belong to result code %d", status, int(body.Code))
	}
	return body.Err()
}

// WriteError answers with err as an ErrorBody.
func WriteError(w http.ResponseWriter, err error, fallback result.Code) {
	body := NewErrorBody(err, fallback)
	w.Header().Set(HeaderResult, fmt.Sprint(int(body.Code)))
	writeJSON(w, body.Code.HTTPStatus(), body)
}
