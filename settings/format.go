package settings

import (
	"net/netip"
	"net/url"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// parseSize returns the number of bytes that value states, and whether it is
// valid.
func parseSize(value string) (int64, bool) {
	unit := int64(1)
	for suffix, size := range map[string]int64{"KiB": kibibyte, "MiB": mebibyte} {
		if digits, found := strings.CutSuffix(value, suffix); found {
			value, unit = strings.TrimSpace(digits), size
		}
	}
	n, err := strconv.ParseInt(value, 10, 40)
	return n * unit, err == nil
}

func formatSize(n int64) string {
	switch {
	case n >= mebibyte && n%mebibyte == 0:
		return strconv.FormatInt(n/mebibyte, 10) + "MiB"
	case n >= kibibyte && n%kibibyte == 0:
		return strconv.FormatInt(n/kibibyte, 10) + "KiB"
	}
	return strconv.FormatInt(n, 10)
}

// formatDuration omits zero minutes and seconds, as in 1h or 5m.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func formatPercent(p float64) string {
	return strconv.FormatFloat(p, 'g', -1, 64) + "%"
}

// validAddress accepts an IP address and port. Host names are not accepted,
// because processes find each other by address only.
func validAddress(value string) bool {
	address, err := netip.ParseAddrPort(value)
	return err == nil && address.Port() != 0
}

// validURL accepts the base URL of an HTTP server, with an IP address as host.
func validURL(value string) bool {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	return validAddress(u.Host)
}

// validTrace accepts the target of a trace. A relative path is rejected, because
// the working directory of a daemon is not configured.
func validTrace(value string) bool {
	return value == "-" || filepath.IsAbs(value)
}

func validLevel(value string) bool {
	switch value {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}
