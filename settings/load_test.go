package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/settings"
)

const minimalFile = `[vm]
id = giza-entry-1
data_centre = giza
[listen]
callers = 127.0.1.11:8080
peers = 127.0.1.11:7070
[platform]
log_url = http://127.0.1.1:9000
vm_list_url = http://127.0.1.1:9001
`

// Guards against defaults that differ from design section 3.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	e, err := settings.Parse("minimal.ini", []byte(minimalFile))
	is.NoErr(err)
	is.Equal(e.Times.OwnerLease, 5*time.Second)
	is.Equal(e.Times.OwnerRenewal, 1500*time.Millisecond)
	is.Equal(e.Times.ClockDrift, 0.01)
	is.Equal(e.Times.Freshness, 2*time.Second)
	is.Equal(e.Times.LogPoll, 250*time.Millisecond)
	is.Equal(e.Times.TaskLease, 10*time.Second)
	is.Equal(e.Times.TaskRenewal, 3*time.Second)
	is.Equal(e.Times.OfflineTasks, 15*time.Minute)
	is.Equal(e.Times.MaxRequest, 5*time.Second)
	is.Equal(e.Times.RequestIDRetention, 10*time.Minute)
	is.Equal(e.Times.LeavingPoll, time.Second)
	is.Equal(e.Times.BalancerDelay, 3*time.Second)
	is.Equal(e.Times.StopDeadline, 30*time.Second)
	is.Equal(e.Limits.MaxHeaderBytes, 64<<10)
	is.Equal(e.Limits.Watches, 256)
	is.Equal(e.LogLevel, "info")
}

// Guards against a mistake that hides later ones, and against a message without
// the file, the section, the key or the accepted values.
func TestAllMistakesAreReportedTogether(t *testing.T) {
	is := is.New(t)
	file := strings.Replace(minimalFile, "127.0.1.11:8080", "localhost:8080", 1)
	file = strings.Replace(file, "data_centre = giza\n", "data_center = giza\n", 1)
	_, err := settings.Parse("bad.ini", []byte(file+`
[times]
owner_lease = 5
task_renewal = 9s
clock_drift = 0.01
log_poll = 1s
log_poll = 1s
balancer_delay
[limits]
max_header_bytes = 1KiB
watches = 2.5
[peers.giza]
giza-entry-2 = 127.0.1.12
giza-entry-3 = 127.0.1.11:7070
[peers.maadi]
giza-entry-1 = 127.0.1.14:7070
giza-entry-3 = 127.0.1.13:7070
[spare]
key = 1
`))
	var mistakes settings.Mistakes
	is.True(errors.As(err, &mistakes))
	want := []string{
		"bad.ini: [vm] data_centre: missing; accepted: 1 to 63",
		`bad.ini: [listen] callers: the value is "localhost:8080"; accepted: an IP address and port`,
		`bad.ini: [times] owner_lease: the value is "5"; accepted: 1s to 1m (duration (ms, s, m, h))`,
		`bad.ini: [times] clock_drift: the value is "0.01"; accepted: 0% to 10% (percent)`,
		"bad.ini: [times] log_poll: present 2 times; accepted: each key once",
		`bad.ini: [times] balancer_delay: the value is "true"; accepted: 0s to 5m`,
		`bad.ini: [limits] max_header_bytes: the value is "1KiB"; accepted: 4KiB to 1MiB`,
		`bad.ini: [limits] watches: the value is "2.5"; accepted: 1 to 10000`,
		`bad.ini: [peers.giza] giza-entry-2: the value is "127.0.1.12"; accepted: an IP address and port`,
		"bad.ini: [peers.giza] giza-entry-3: has the address of this VM",
		"bad.ini: [peers.maadi] giza-entry-1: this VM is in data centre",
		"bad.ini: [peers.maadi] giza-entry-3: also in data centre giza; accepted: each VM once",
		"bad.ini: [vm] data_center: unknown key; accepted: id, data_centre",
		"bad.ini: [spare]: unknown section; accepted: vm, listen,",
		`bad.ini: [times] task_renewal: the value is 9s; accepted: at most a third of task_lease`,
	}
	lines := strings.Split(err.Error(), "\n")
	is.Equal(len(lines), len(want))
	for i, line := range lines {
		if !strings.HasPrefix(line, want[i]) {
			t.Errorf("line %d is\n%s\nwant\n%s", i+1, line, want[i])
		}
	}
}

// Guards against a constraint between times that is not checked, also where only
// one of the times is set and the others have their defaults.
func TestConstraintsBetweenTimes(t *testing.T) {
	for times, key := range map[string]string{
		"owner_lease = 4s":                     "owner_renewal",
		"task_lease = 8s":                      "task_renewal",
		"log_poll = 600ms":                     "log_poll",
		"freshness = 6s":                       "freshness",
		"promise = 6s":                         "promise",
		"known_gone = 5s":                      "known_gone",
		"task_lease = 10m\noffline_tasks = 9m": "offline_tasks",
		"progress = 5s":                        "progress",
		"max_request = 1m\nrequest_id_retention = 1m\nstop_deadline = 2m": "request_id_retention",
		"stop_deadline = 7s": "stop_deadline",
	} {
		t.Run(key, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Parse("times.ini", []byte(minimalFile+"[times]\n"+times+"\n"))
			var mistakes settings.Mistakes
			is.True(errors.As(err, &mistakes))
			is.Equal(len(mistakes), 1)
			is.Equal(mistakes[0].Key, key)
		})
	}
}

// Guards against example files that the daemon would reject.
func TestExampleFilesLoad(t *testing.T) {
	for _, name := range []string{"consortium", "bensalama"} {
		is := is.New(t)
		e, err := settings.Load("../examples/" + name + ".ini")
		is.NoErr(err)
		is.Equal(len(e.Peers), 7)
		is.Equal(len(e.Others()), 6)
	}
}

// Guards against a reference page that differs from the code.
func TestReferencePageMatchesKeys(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/settings.md")
	is.NoErr(err)
	is.Equal(string(page), settings.Markdown()) // regenerate with `cactusreel settings reference`
}

// Guards against a panic on a malformed file, and against settings that are
// accepted without their required keys.
func FuzzParse(f *testing.F) {
	f.Add(minimalFile)
	f.Add("[times]\nowner_lease = 5s\nowner_lease\n[peers.]\n= x\n[peers.a.b]\nv=1")
	f.Fuzz(func(t *testing.T, file string) {
		e, err := settings.Parse("fuzz.ini", []byte(file))
		if err == nil && (e.VM == "" || e.DataCentre == "" || e.ListenCallers == "" || e.LogURL == "" || e.Times.OwnerLease == 0) {
			t.Fatalf("%q is accepted as %+v", file, e)
		}
		if err != nil && err.Error() == "" {
			t.Fatalf("%q is rejected without a reason", file)
		}
	})
}

// Guards against a trace that is enabled by default, and against a target that
// depends on the working directory.
func TestTraceTarget(t *testing.T) {
	is := is.New(t)
	for value, want := range map[string]bool{"": true, "-": true, "/run/trace": true, "trace.jsonl": false} {
		e, err := settings.Parse("t.ini", []byte(minimalFile+"[logging]\ntrace = "+value+"\n"))
		is.Equal(err == nil, want) // accepted or not
		if want {
			is.Equal(e.Trace, value)
		}
	}
	e, err := settings.Parse("t.ini", []byte(minimalFile))
	is.NoErr(err)
	is.Equal(e.Trace, "")
}
