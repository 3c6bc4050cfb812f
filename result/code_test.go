package result_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/result"
)

// Guards against a code with a number that is used twice, without a name or
// texts, or with a name that contradicts its Ran field.
func TestTableIsConsistent(t *testing.T) {
	is := is.New(t)
	last := result.Code(-1)
	for _, info := range result.Table() {
		is.True(info.Code > last) // ascending and unique
		last = info.Code
		is.Equal(info.Code.String(), info.Name)
		is.True(info.Meaning != "" && info.Remedy != "")
		if strings.HasPrefix(info.Name, "NotRun") {
			is.Equal(info.Ran, "no")
		}
		if strings.HasSuffix(info.Name, "OutcomeUnknown") {
			is.Equal(info.Ran, "unknown")
		}
	}
}

// Guards against losing the code or the cause when an error is wrapped.
func TestErrorKeepsCodeAndCause(t *testing.T) {
	is := is.New(t)
	cause := errors.New("connection refused")
	err := fmt.Errorf("append: %w", result.Errorf(result.NotRunLogUnavailable, "log: %w", cause))
	is.Equal(result.CodeOf(err, result.OK), result.NotRunLogUnavailable)
	is.True(errors.Is(err, cause))
	is.Equal(result.CodeOf(cause, result.PeerUnavailable), result.PeerUnavailable)
	is.Equal(result.CodeOf(nil, result.PeerUnavailable), result.OK)
}
