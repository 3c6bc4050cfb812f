// Package settings reads and validates the INI settings of the daemon.
//
// Every key has a row in a table that gives its section, unit, accepted range
// and default. Loading reports all mistakes of a file at once.
// docs/settings.md is generated from the same table.
package settings
