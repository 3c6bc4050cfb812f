// Package interference estimates how much tasks of one kind slow down tasks of
// another on the same worker, per ordered pair of kinds and load bucket.
package interference
