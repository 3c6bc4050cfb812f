// Package scripts has tests of the scripts in its directory.
package scripts
