// Package loopback reserves loopback addresses for processes that tests start.
//
// A port that the kernel has chosen and that was closed again can go to any other
// socket before the process listens on it. A Host is a loopback IP address of its
// own instead: its guard port is bound for as long as the Host is held, and who
// finds it taken uses another IP address. The ports of a Host are below the usual
// range of ephemeral ports, so that no listener on all addresses is given one.
//
// Scripts follow the same convention: their stand-in listens on GuardPort.
package loopback
