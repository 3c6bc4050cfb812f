package resources

import (
	"fmt"

	"github.com/cactusreel/cactusreel/result"
)

// rejection is the reason why an operation has no effect.
type rejection struct {
	code    result.Code
	message string
}

func reject(code result.Code, format string, args ...any) *rejection {
	return &rejection{code: code, message: fmt.Sprintf(format, args...)}
}
