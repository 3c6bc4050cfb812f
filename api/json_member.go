package api

import (
	"fmt"
	"strings"
)

// jsonMember is one name-value pair of a JSON object.
type jsonMember struct {
	name  string
	value jsonValue
}

// joinPath returns the path of a member of the object at path. It truncates a
// long name, because the path is shown in messages.
func joinPath(path, name string) string {
	if len(name) > maxValueShown {
		name = strings.ToValidUTF8(name[:maxValueShown], "") + "..."
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// indexPath returns the path of item i of the list at path.
func indexPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
