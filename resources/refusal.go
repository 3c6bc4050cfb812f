package resources

import (
	"fmt"

	"github.com/cactusreel/cactusreel/result"
)

// refusal is the reason why an operation has no effect.
type refusal struct {
	code    result.Code
	message string
}

func refuse(code result.Code, format string, args ...any) *refusal {
	return &refusal{code: code, message: fmt.Sprintf(format, args...)}
}
