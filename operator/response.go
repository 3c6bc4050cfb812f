package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// retryAfterSeconds is the Retry-After header of responses with status 503.
const retryAfterSeconds = 1

// writeSuccess responds with result.OK and a body. A version other than 0 becomes
// the ETag.
func writeSuccess(w http.ResponseWriter, version api.Version, body any) {
	if version != 0 {
		w.Header().Set("ETag", `"`+strconv.FormatInt(int64(version), 10)+`"`)
	}
	writeResponse(w, result.OK, body)
}

// writeFailure responds with a failure, whose Name it sets from its Code.
func writeFailure(w http.ResponseWriter, f Failure) {
	f.Name = f.Code.String()
	if f.Code.HTTPStatus() == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	writeResponse(w, f.Code, f)
}

func writeResponse(w http.ResponseWriter, code result.Code, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderResult, strconv.Itoa(int(code)))
	w.WriteHeader(code.HTTPStatus())
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// errorMessage returns an error's message without the result code, which the
// response carries separately.
func errorMessage(err error) string {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Message
	}
	return err.Error()
}
