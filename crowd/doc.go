// Package crowd tests the coordinator process beside clients that nobody controls.
//
// Each test starts the real process, built without the race detector, with the memory and the
// descriptors of a small VM in its settings, and sends it one kind of crowd on the loopback
// interface. A test checks only what does not depend on the machine's speed: that the process
// lives, that its peak memory and its descriptors stay within the settings, and that an ordinary
// request is answered while the crowd's connections are still open.
//
// The tests run one at a time; scripts/test.sh runs this package by itself after all others.
package crowd
