// Package command implements the subcommands of the cactusreel program, one file
// each.
package command
