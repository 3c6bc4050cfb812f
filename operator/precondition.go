package operator

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
)

// parsePrecondition reads If-Match, which must be one version with or without
// quotes, or If-None-Match, which must be an asterisk.
func parsePrecondition(header http.Header) (resources.Precondition, error) {
	match, noneMatch := header.Values("If-Match"), header.Values("If-None-Match")
	switch {
	case len(match)+len(noneMatch) > 1:
		return resources.Precondition{}, errors.New("more than one precondition; accepted: one If-Match or one If-None-Match")
	case len(match) == 1:
		version, err := parseVersion(match[0])
		if err != nil || version == 0 {
			return resources.Precondition{}, fmt.Errorf("If-Match is %.64q; accepted: a version, which is a whole number of 1 or more", match[0])
		}
		return resources.Precondition{Version: version}, nil
	case len(noneMatch) == 1:
		if strings.TrimSpace(noneMatch[0]) != "*" {
			return resources.Precondition{}, fmt.Errorf("If-None-Match is %.64q; accepted: *", noneMatch[0])
		}
		return resources.Precondition{MustNotExist: true}, nil
	}
	return resources.Precondition{}, nil
}

// parseVersion parses a version of 0 or more with or without quotes.
func parseVersion(text string) (api.Version, error) {
	text = strings.TrimSpace(text)
	if unquoted, ok := strings.CutPrefix(text, `"`); ok {
		text = strings.TrimSuffix(unquoted, `"`)
	}
	version, err := strconv.ParseUint(text, 10, 63)
	return api.Version(version), err
}
