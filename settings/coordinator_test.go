package settings_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/settings"
)

// renderTemplate returns the deploy template with every placeholder replaced.
func renderTemplate(t *testing.T) string {
	data, err := os.ReadFile("../deploy/coordinator.ini.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("{{listen_addrs.frontend}}", "10.1.0.13:8161", "{{listen_addrs.readiness}}", "10.1.0.13:8167",
		"{{platform.address}}", "10.200.1.7:8169", "{{ip}}", "10.1.0.13", "{{node_name}}", "front-1", "{{zone}}", "giza",
		"{{internal_ports.0}}", "7720", "{{internal_ports.1}}", "7735").Replace(string(data))
	return regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllString(text, "3000")
}

// Guards against a deploy template that the daemon rejects, and against a key
// whose value does not arrive in the settings.
func TestTemplateIsAccepted(t *testing.T) {
	is := is.New(t)
	s, err := settings.ParseCoordinator("coordinator.ini", []byte(renderTemplate(t)))
	is.NoErr(err)
	is.Equal(s.VM.Name, "front-1")
	is.Equal(s.Listen.Peers, "10.1.0.13:7720")
	is.Equal(s.Times.Grace, 3000*time.Second)
	is.Equal(s.Limits.Cells, 2)
}

// Guards against a start with invalid settings, and against a check that reports
// only the first mistake.
func TestAllCoordinatorMistakesAreReported(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("10.1.0.13:8161", "nowhere", "address = 10.200.1.7:8169", "address =",
		"remote_factor = 3000", "remote_factor = 0.5", "[limits]", "[limits]\ncells = 9999").Replace(renderTemplate(t))
	_, err := settings.ParseCoordinator("coordinator.ini", []byte(text))
	is.True(err != nil)
	for _, key := range []string{"callers", "address", "remote_factor", "cells"} {
		is.True(strings.Contains(err.Error(), key))
	}
	_, err = settings.ParseCoordinator("coordinator.ini", []byte("[times]\ngrace = soon\n"))
	is.True(err != nil)
}

// Guards against a daemon that does not start because a newer platform sets
// unknown keys or leaves known ones empty.
func TestUnknownAndEmptyKeysAreIgnored(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(renderTemplate(t), "[times]", "[times]\nnovel = 12\ngrace = s", 1)
	_, err := settings.ParseCoordinator("coordinator.ini", []byte(text))
	is.NoErr(err)
}

// Guards against numbers whose conversion overflows, to a number of cells or a memory
// limit that differs by processor, and against values that no comparison rejects.
func TestCoordinatorNumbersOutOfRangeAreRefused(t *testing.T) {
	for key, values := range map[string][]string{
		"limits/store_writes": {"NaN", "+Inf", "-1", "1e300"}, "limits/cpu_share": {"NaN", "-1", "1e300"},
		"limits/remote_factor": {"NaN", "+Inf", "1e300"}, "limits/memory_mib": {"9223372036854775807", "9223372036854775808"},
		"limits/store_partitions": {"9223372036854775807"},
		"limits/descriptors":      {"0", "-1", "299", "9223372036854775807"}, "limits/client_memory": {"NaN", "0", "0.5", "-1"},
		"limits/client_progress": {"-1", "9223372036854775807"}, "limits/max_header_bytes": {"0", "4095", "-1", "1048577"},
		"times/grace": {"-1s", "2000000h"}, "times/stop": {"-1s", "2000000h"}, "times/start_early": {"-1s", "2000000h"},
		"times/lease_limit": {"2000000h"}, "times/group_ttl_least": {"-1s", "2000000h"},
		"times/drain_notice": {"-1s", "999ms", "2000000h"}, "times/evacuation_notice": {"-1s", "999ms", "2000000h"},
		"times/cancel_notice": {"-1s", "999ms", "2000000h"}, "times/manifest_notice": {"-1s", "999ms", "2000000h"}, "times/log_retention": {"-1s", "9s", "2000000h"},
	} {
		section, name, _ := strings.Cut(key, "/")
		for _, value := range values {
			text := regexp.MustCompile(`(?m)^`+name+` *=.*$`).ReplaceAllString(renderTemplate(t), "")
			text = strings.Replace(text, "["+section+"]", "["+section+"]\n"+name+" = "+value, 1)
			if s, err := settings.ParseCoordinator("coordinator.ini", []byte(text)); err == nil {
				t.Errorf("%s = %s: accepted as %+v", key, value, s)
			}
		}
	}
}

// Guards against mistakes whose order changes from one check to the next.
func TestMistakesAreInOneOrder(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("callers = 10.1.0.13:8161", "callers = a", "readiness = 10.1.0.13:8167", "readiness = b",
		"peers = 10.1.0.13:7720", "peers = c").Replace(renderTemplate(t))
	_, first := settings.ParseCoordinator("coordinator.ini", []byte(text))
	for range 30 {
		_, err := settings.ParseCoordinator("coordinator.ini", []byte(text))
		is.Equal(err.Error(), first.Error())
	}
}
