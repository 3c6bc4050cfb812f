package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// retryAfterSeconds is the Retry-After of answers with status 503.
const retryAfterSeconds = 1

// succeed answers with result.OK and a body. A version other than 0 becomes
// the ETag.
func succeed(w http.ResponseWriter, version api.Version, body any) {
	if version != 0 {
		w.Header().Set("ETag", `"`+strconv.FormatInt(int64(version), 10)+`"`)
	}
	answer(w, result.OK, body)
}

// fail answers with a code and fills in its name.
func fail(w http.ResponseWriter, f Failure) {
	f.Name = f.Code.String()
	if f.Code.HTTPStatus() == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	answer(w, f.Code, f)
}

func answer(w http.ResponseWriter, code result.Code, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderResult, strconv.Itoa(int(code)))
	w.WriteHeader(code.HTTPStatus())
	// A write error means that the client has gone.
	_ = json.NewEncoder(w).Encode(body)
}

// messageOf returns an error's message without the code, which the answer
// carries separately.
func messageOf(err error) string {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Message
	}
	return err.Error()
}
