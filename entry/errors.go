package entry

import "errors"

// errCopyRefused means that a peer did not import a part of a table's copy.
var errCopyRefused = errors.New("peer refused the copy of a request table")
