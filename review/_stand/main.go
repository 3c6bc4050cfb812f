// Command review-stand plays a case of the independent review: it starts coordinators as
// separate processes beside stand-ins of the platform's store, the workers and the
// requesters, and checks the rule that the case names.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
	firstID  = "5c0e7a21d94b36f8"
)

// outcome is what a case has shown.
type outcome struct {
	breaks []string
	err    error
}

// play is a case. trouble is false for the same without the disruption.
type play func(c *cluster, trouble bool) outcome

// setUp prepares the workers and the manifest of a case.
type setUp func(c *cluster) error

type reviewCase struct {
	site  site
	setUp setUp
	play  play
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE RECORD")
		os.Exit(couldNot)
	}
	os.Exit(playNamed(os.Args[1], os.Args[2]))
}

func runCase(k reviewCase, rec *record) outcome {
	c, err := newCluster(rec, k.site)
	if err != nil {
		return outcome{err: err}
	}
	defer c.close(os.Getenv("REVIEW_LOGS"))
	if err := k.setUp(c); err != nil {
		return outcome{err: err}
	}
	if err := c.start(); err != nil {
		return outcome{err: err}
	}
	return k.play(c, os.Getenv("TROUBLE") != "0")
}

func playNamed(name, path string) int {
	k, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return couldNot
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer rec.file.Close()
	began := time.Now()
	o := runCase(k, rec)
	if o.err != nil {
		rec.add("could not run: %v", o.err)
		fmt.Fprintln(os.Stderr, "could not run:", o.err)
		return couldNot
	}
	fmt.Printf("%s: %d breaks of the rule in %.0f s\n", name, len(o.breaks), time.Since(began).Seconds())
	for i, b := range o.breaks {
		rec.add("BREAK %s", b)
		if i < 5 {
			fmt.Println("  " + b)
		}
	}
	if len(o.breaks) > 0 {
		return broken
	}
	return held
}
