package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/loopback"
	"github.com/cactusreel/cactusreel/standin"
)

// awaitTimeout bounds every wait for a state. It is far above the times of
// docs/design.md, so that load on the machine does not change the test results.
const awaitTimeout = 90 * time.Second

// binaryDir is the directory into which TestMain builds the programs.
var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cactusreel-e2e")
	if err != nil {
		panic(err)
	}
	binaryDir = dir
	build := exec.Command("go", "build", "-race", "-o", dir+string(filepath.Separator), "../cmd/cactusreel", "../cmd/standin")
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// entryVM is an entry VM, run as a process of the daemon.
type entryVM struct {
	name, dataCentre           string
	callerAddress, peerAddress string
	// remotePeerAddress is the address at which peers in other data centres
	// reach the VM, that of a proxy.
	remotePeerAddress string
	process           *exec.Cmd
	logPath           string
	exited            chan int
}

// cluster is a stand-in platform with entry VMs, and the events that the test
// has observed.
type cluster struct {
	t               *testing.T
	adminAddress    string
	logAddresses    map[string]string
	vmListAddresses map[string]string
	standin         *exec.Cmd
	entries         []*entryVM
	// proxies forward the connections between data centres.
	proxies []*proxy
	// clockOffset is the stand-in's clock minus the time since started.
	started     time.Time
	clockOffset time.Duration
	mu          sync.Mutex
	events      []checker.Event
	// tries are those of requests that were not answered at once, by request id.
	tries        map[string]*requestTries
	timeSettings string

	// balancerMu guards the last probe of the entry VMs' readiness.
	balancerMu   sync.Mutex
	probedAt     time.Time
	readyEntries []*entryVM
}

// layout is the size of a cluster. entryVMs has the number of entry VMs of each
// data centre; timeSettings holds further lines of the section "times".
type layout struct {
	dataCentres  []string
	entryVMs     []int
	workers      int
	timeSettings string
}

func startCluster(t *testing.T, l layout) *cluster {
	t.Helper()
	c := &cluster{t: t, started: time.Now(), timeSettings: l.timeSettings, tries: make(map[string]*requestTries)}
	t.Cleanup(c.printTries)
	for i, dc := range l.dataCentres {
		for n := range l.entryVMs[i] {
			c.entries = append(c.entries, newEntryVM(t, dc, n+1))
		}
	}
	for _, vm := range c.entries {
		c.proxies = append(c.proxies, newProxy(t, vm.remotePeerAddress, vm.peerAddress))
	}
	c.startStandin(l)
	for _, vm := range c.entries {
		c.startEntry(vm)
	}
	for _, vm := range c.entries {
		c.await("ready "+vm.name, func() bool { return c.httpStatus(vm, "/readyz") == http.StatusOK })
		c.recordEvent(checker.Event{Type: checker.VMStarted, VM: vm.name})
	}
	for _, dc := range l.dataCentres {
		c.put(api.Resource{Meta: api.Meta{Kind: api.KindDataCentre, Name: dc}, DataCentre: &api.DataCentreSpec{InService: true, Cells: 2, DrainSeconds: 20}})
	}
	return c
}

// newEntryVM returns an entry VM with a loopback address of its own, which is held until
// the test has ended.
func newEntryVM(t *testing.T, dataCentre string, number int) *entryVM {
	t.Helper()
	host, err := loopback.Hold()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = host.Close() })
	vm := &entryVM{name: fmt.Sprintf("%s-%d", dataCentre, number), dataCentre: dataCentre}
	for _, address := range []*string{&vm.callerAddress, &vm.peerAddress, &vm.remotePeerAddress} {
		if *address, err = host.Address(); err != nil {
			t.Fatal(err)
		}
	}
	return vm
}

func (c *cluster) startStandin(l layout) {
	c.t.Helper()
	args := []string{"--workers", fmt.Sprint(l.workers), "--list-lag", "500ms"}
	for _, dc := range l.dataCentres {
		args = append(args, "--data-centres", dc)
	}
	for _, vm := range c.entries {
		args = append(args, "--entry", fmt.Sprintf("%s/%s=%s", vm.dataCentre, vm.name, vm.peerAddress))
	}
	c.standin = exec.Command(filepath.Join(binaryDir, "standin"), args...)
	c.standin.Stderr = os.Stderr
	out, err := c.standin.StdoutPipe()
	if err != nil {
		c.t.Fatal(err)
	}
	if err := c.standin.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		_ = c.standin.Process.Signal(syscall.SIGTERM)
		_ = c.standin.Wait()
	})
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err != nil {
		c.t.Fatal(err)
	}
	var ready struct {
		Admin string            `json:"admin"`
		Log   map[string]string `json:"log"`
		VMs   map[string]string `json:"vms"`
	}
	if err := json.Unmarshal(line, &ready); err != nil {
		c.t.Fatal(err)
	}
	c.adminAddress, c.logAddresses, c.vmListAddresses = ready.Admin, ready.Log, ready.VMs
	c.clockOffset = c.history().Now - time.Since(c.started)
}

// startEntry starts the process of an entry VM, for the first time or again.
func (c *cluster) startEntry(vm *entryVM) {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), vm.name+".ini")
	if err := os.WriteFile(path, []byte(c.settings(vm)), 0o600); err != nil {
		c.t.Fatal(err)
	}
	vm.process = exec.Command(filepath.Join(binaryDir, "cactusreel"), "entry", "--settings", path)
	log, err := os.Create(filepath.Join(c.t.TempDir(), vm.name+".log"))
	if err != nil {
		c.t.Fatal(err)
	}
	vm.logPath = log.Name()
	vm.process.Stdout, vm.process.Stderr = log, log
	if err := vm.process.Start(); err != nil {
		c.t.Fatal(err)
	}
	process, exited, ended := vm.process, make(chan int, 1), make(chan struct{})
	vm.exited = exited
	go func() {
		_ = process.Wait()
		exited <- process.ProcessState.ExitCode()
		close(ended)
	}()
	c.t.Cleanup(func() {
		state := "runs"
		select {
		case <-ended:
			state = process.ProcessState.String()
		default:
		}
		_ = process.Process.Kill()
		c.checkRaces(vm, log.Name())
		if c.t.Failed() {
			c.t.Logf("process %d of %s: %s; its log ends with:", process.Process.Pid, vm.name, state)
			c.printTail(vm, log.Name())
		}
		_ = log.Close()
	})
}

// checkRaces fails the test if the race detector, with which the programs are
// built, has reported a data race.
func (c *cluster) checkRaces(vm *entryVM, path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		c.t.Error(err)
		return
	}
	if i := bytes.Index(data, []byte("WARNING: DATA RACE")); i >= 0 {
		c.t.Errorf("%s: %s", vm.name, data[i:min(len(data), i+raceReportLimit)])
	}
}

// raceReportLimit is the maximum length of a printed race report, in bytes.
const raceReportLimit = 4000

// printTail prints the last lines of an entry VM's log. Of lines of one event in a row it
// prints the first and the number of the others: repeats of a request write thousands.
func (c *cluster) printTail(vm *entryVM, path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		return
	}
	lines := collapse(bytes.Split(bytes.TrimSpace(data), []byte("\n")))
	for _, line := range lines[max(0, len(lines)-printedLines):] {
		c.t.Logf("%s: %s", vm.name, line)
	}
}

// printedLines is the number of lines of a log that a failed test prints.
const printedLines = 60

// eventField matches the number of an event in a line of a log.
var eventField = regexp.MustCompile(`"event":\d+`)

// collapse replaces further lines of the same event in a row by their number.
func collapse(lines [][]byte) (out []string) {
	repeats := 0
	var last []byte
	for _, line := range lines {
		event := eventField.Find(line)
		if event != nil && bytes.Equal(event, last) {
			repeats++
			continue
		}
		if repeats > 0 {
			out = append(out, fmt.Sprintf("%d more lines of %s", repeats, last))
		}
		last, repeats = event, 0
		out = append(out, string(line))
	}
	if repeats > 0 {
		out = append(out, fmt.Sprintf("%d more lines of %s", repeats, last))
	}
	return out
}

func (c *cluster) settings(vm *entryVM) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[vm]\nid = %s\ndata_centre = %s\n", vm.name, vm.dataCentre)
	fmt.Fprintf(&b, "[listen]\ncallers = %s\npeers = %s\n", vm.callerAddress, vm.peerAddress)
	fmt.Fprintf(&b, "[platform]\nlog_url = http://%s\nvm_list_url = http://%s\n", c.logAddresses[vm.dataCentre], c.vmListAddresses[vm.dataCentre])
	fmt.Fprintf(&b, "[logging]\nlevel = info\n")
	for dc := range c.logAddresses {
		fmt.Fprintf(&b, "[peers.%s]\n", dc)
		for _, other := range c.entries {
			if other.dataCentre == dc {
				fmt.Fprintf(&b, "%s = %s\n", other.name, vm.peerAddressOf(other))
			}
		}
	}
	fmt.Fprintf(&b, "[times]\nbalancer_delay = 300ms\n%s", c.timeSettings)
	return b.String()
}

// peerAddressOf returns the address at which the VM reaches another one.
func (vm *entryVM) peerAddressOf(other *entryVM) string {
	if vm.dataCentre == other.dataCentre {
		return other.peerAddress
	}
	return other.remotePeerAddress
}

// inDataCentre returns the entry VMs of a data centre.
func (c *cluster) inDataCentre(dataCentre string) []*entryVM {
	var list []*entryVM
	for _, vm := range c.entries {
		if vm.dataCentre == dataCentre {
			list = append(list, vm)
		}
	}
	return list
}

// await waits until the condition holds, and fails the test after awaitTimeout.
func (c *cluster) await(what string, reached func() bool) {
	c.t.Helper()
	end := time.Now().Add(awaitTimeout)
	for !reached() {
		if time.Now().After(end) {
			c.t.Fatalf("waited %v for: %s", awaitTimeout, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// probeClient has a timeout, because a frozen process does not respond.
var probeClient = &http.Client{Timeout: time.Second}

func (c *cluster) httpStatus(vm *entryVM, path string) int {
	response, err := probeClient.Get("http://" + vm.callerAddress + path)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// operatorClient returns an operator's client for the given entry VMs, or for all.
func (c *cluster) operatorClient(vms ...*entryVM) *client.Client {
	if len(vms) == 0 {
		vms = c.entries
	}
	var servers []string
	for _, vm := range vms {
		servers = append(servers, "http://"+vm.callerAddress)
	}
	o, err := client.New(servers)
	if err != nil {
		c.t.Fatal(err)
	}
	return o
}

func (c *cluster) put(r api.Resource) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	if _, err := c.operatorClient().Put(ctx, r, client.WriteOptions{}); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) resourceStatus(kind api.Kind, name string, vms ...*entryVM) api.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := c.operatorClient(vms...).Get(ctx, kind, name)
	if err != nil || r.Status == nil {
		return api.Status{}
	}
	return *r.Status
}

// setFault switches a fault of the stand-in on or off.
func (c *cluster) setFault(f standin.Fault) {
	c.t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.Post("http://"+c.adminAddress+"/fault", "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.t.Fatalf("fault %+v: status %d", f, response.StatusCode)
	}
}

func (c *cluster) history() standin.HistoryView {
	c.t.Helper()
	response, err := http.Get("http://" + c.adminAddress + "/history")
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	var h standin.HistoryView
	if err := json.NewDecoder(response.Body).Decode(&h); err != nil {
		c.t.Fatal(err)
	}
	return h
}
