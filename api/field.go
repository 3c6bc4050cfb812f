package api

import (
	"fmt"
	"strings"
)

// field is one field of an object.
type field struct {
	name  string
	value tree
}

func join(path, name string) string {
	if len(name) > maxValueShown {
		name = strings.ToValidUTF8(name[:maxValueShown], "") + "..."
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func index(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
