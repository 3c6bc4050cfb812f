package api

// Version is a resource version: the offset in the log's resources stream of
// the last record that changed the resource. 0 means "does not exist".
type Version int64
