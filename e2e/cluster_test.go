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
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/standin"
)

// patience bounds every wait for a state. It is far above the times of
// docs/design.md, so that a busy machine does not change the verdict.
const patience = 90 * time.Second

// binaries is where TestMain puts the programs.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cactusreel-e2e")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-race", "-o", dir+string(filepath.Separator), "../cmd/cactusreel", "../cmd/standin")
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// entryVM is one process of the daemon.
type entryVM struct {
	name, dataCentre string
	callers, peers   string
	// far is the address at which other data centres reach the VM.
	far     string
	process *exec.Cmd
	exited  chan int
}

// cluster is a stand-in platform with entry VMs.
type cluster struct {
	t       *testing.T
	admin   string
	logs    map[string]string
	lists   map[string]string
	standin *exec.Cmd
	entries []*entryVM
	// links carry the connections between data centres.
	links []*link
	// offset is what to add to local to get the stand-in's time.
	started time.Time
	offset  time.Duration
	mu      sync.Mutex
	events  []checker.Event
	times   string

	// balancer guards the probes of the entry VMs' readiness.
	balancer sync.Mutex
	probedAt time.Time
	ready    []*entryVM
}

// layout lists the entry VMs of each data centre: "giza": 2.
type layout struct {
	dataCentres []string
	entries     []int
	workers     int
	times       string
}

func start(t *testing.T, l layout) *cluster {
	t.Helper()
	c := &cluster{t: t, started: time.Now(), times: l.times}
	number := clusters.Add(1)
	for i, dc := range l.dataCentres {
		for n := range l.entries[i] {
			c.entries = append(c.entries, &entryVM{name: fmt.Sprintf("%s-%d", dc, n+1), dataCentre: dc, callers: address(number, len(c.entries), callerPort), peers: address(number, len(c.entries), peerPort)})
		}
	}
	for i, vm := range c.entries {
		vm.far = address(number, i, farPort)
		c.links = append(c.links, newLink(t, vm.far, vm.peers))
	}
	c.startStandin(l)
	for _, vm := range c.entries {
		c.startEntry(vm)
	}
	for _, vm := range c.entries {
		c.await("ready "+vm.name, func() bool { return c.status(vm, "/readyz") == http.StatusOK })
		c.note(checker.Event{Type: checker.VMStarted, VM: vm.name})
	}
	for _, dc := range l.dataCentres {
		c.put(api.Resource{Meta: api.Meta{Kind: api.KindDataCentre, Name: dc}, DataCentre: &api.DataCentreSpec{InService: true, Cells: 2, DrainSeconds: 20}})
	}
	return c
}

// clusters numbers the clusters of this process.
var clusters atomic.Int64

// address returns an address of an entry VM. Each cluster has loopback
// addresses of its own: ports of 127.0.0.1 that are free now can be taken by
// the stand-in or by an outgoing connection before the VM listens.
func address(cluster int64, vm, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%200, cluster%250, vm+1, port)
}

// Ports of every entry VM.
const (
	callerPort = 8080
	peerPort   = 7070
	farPort    = 7071
)

func (c *cluster) startStandin(l layout) {
	c.t.Helper()
	args := []string{"--workers", fmt.Sprint(l.workers), "--list-lag", "500ms"}
	for _, dc := range l.dataCentres {
		args = append(args, "--data-centres", dc)
	}
	for _, vm := range c.entries {
		args = append(args, "--entry", fmt.Sprintf("%s/%s=%s", vm.dataCentre, vm.name, vm.peers))
	}
	c.standin = exec.Command(filepath.Join(binaries, "standin"), args...)
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
	c.admin, c.logs, c.lists = ready.Admin, ready.Log, ready.VMs
	c.offset = c.history().Now - time.Since(c.started)
}

// startEntry starts the process of an entry VM, for the first time or again.
func (c *cluster) startEntry(vm *entryVM) {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), vm.name+".ini")
	if err := os.WriteFile(path, []byte(c.settings(vm)), 0o600); err != nil {
		c.t.Fatal(err)
	}
	vm.process = exec.Command(filepath.Join(binaries, "cactusreel"), "entry", "--settings", path)
	log, err := os.Create(filepath.Join(c.t.TempDir(), vm.name+".log"))
	if err != nil {
		c.t.Fatal(err)
	}
	vm.process.Stdout, vm.process.Stderr = log, log
	if err := vm.process.Start(); err != nil {
		c.t.Fatal(err)
	}
	process, exited := vm.process, make(chan int, 1)
	vm.exited = exited
	go func() {
		_ = process.Wait()
		exited <- process.ProcessState.ExitCode()
	}()
	c.t.Cleanup(func() {
		_ = process.Process.Kill()
		c.checkRaces(vm, log.Name())
		if c.t.Failed() {
			c.printTail(vm, log.Name())
		}
		_ = log.Close()
	})
}

// checkRaces fails the test if the race detector, with which the programs are
// built, has reported something.
func (c *cluster) checkRaces(vm *entryVM, path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		c.t.Error(err)
		return
	}
	if i := bytes.Index(data, []byte("WARNING: DATA RACE")); i >= 0 {
		c.t.Errorf("%s: %s", vm.name, data[i:min(len(data), i+raceReport)])
	}
}

// raceReport bounds what is shown of a data race, in bytes.
const raceReport = 4000

// printTail shows the end of a failed run's log.
func (c *cluster) printTail(vm *entryVM, path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		return
	}
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	for _, line := range lines[max(0, len(lines)-40):] {
		c.t.Logf("%s: %s", vm.name, line)
	}
}

func (c *cluster) settings(vm *entryVM) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[vm]\nid = %s\ndata_centre = %s\n", vm.name, vm.dataCentre)
	fmt.Fprintf(&b, "[listen]\ncallers = %s\npeers = %s\n", vm.callers, vm.peers)
	fmt.Fprintf(&b, "[platform]\nlog_url = http://%s\nvm_list_url = http://%s\n", c.logs[vm.dataCentre], c.lists[vm.dataCentre])
	fmt.Fprintf(&b, "[logging]\nlevel = info\n")
	for dc := range c.logs {
		fmt.Fprintf(&b, "[peers.%s]\n", dc)
		for _, other := range c.entries {
			if other.dataCentre == dc {
				fmt.Fprintf(&b, "%s = %s\n", other.name, vm.reaches(other))
			}
		}
	}
	fmt.Fprintf(&b, "[times]\nbalancer_delay = 300ms\n%s", c.times)
	return b.String()
}

// reaches returns the address at which a VM reaches another one.
func (vm *entryVM) reaches(other *entryVM) string {
	if vm.dataCentre == other.dataCentre {
		return other.peers
	}
	return other.far
}

// in returns the entry VMs of a data centre.
func (c *cluster) in(dataCentre string) []*entryVM {
	var list []*entryVM
	for _, vm := range c.entries {
		if vm.dataCentre == dataCentre {
			list = append(list, vm)
		}
	}
	return list
}

// await waits for a state.
func (c *cluster) await(what string, reached func() bool) {
	c.t.Helper()
	end := time.Now().Add(patience)
	for !reached() {
		if time.Now().After(end) {
			c.t.Fatalf("waited %v for: %s", patience, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// probes has a limit, because a frozen process answers nothing.
var probes = &http.Client{Timeout: time.Second}

func (c *cluster) status(vm *entryVM, path string) int {
	answer, err := probes.Get("http://" + vm.callers + path)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// operator returns a client of the given entry VMs, or of all.
func (c *cluster) operator(vms ...*entryVM) *client.Client {
	if len(vms) == 0 {
		vms = c.entries
	}
	var servers []string
	for _, vm := range vms {
		servers = append(servers, "http://"+vm.callers)
	}
	o, err := client.New(servers)
	if err != nil {
		c.t.Fatal(err)
	}
	return o
}

func (c *cluster) put(r api.Resource) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, err := c.operator().Put(ctx, r, client.WriteOptions{}); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) jobStatus(kind api.Kind, name string, vms ...*entryVM) api.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := c.operator(vms...).Get(ctx, kind, name)
	if err != nil || r.Status == nil {
		return api.Status{}
	}
	return *r.Status
}

// fault switches a fault of the stand-in on or off.
func (c *cluster) fault(f standin.Fault) {
	c.t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		c.t.Fatal(err)
	}
	answer, err := http.Post("http://"+c.admin+"/fault", "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		c.t.Fatalf("fault %+v: status %d", f, answer.StatusCode)
	}
}

func (c *cluster) history() standin.HistoryView {
	c.t.Helper()
	answer, err := http.Get("http://" + c.admin + "/history")
	if err != nil {
		c.t.Fatal(err)
	}
	defer answer.Body.Close()
	var h standin.HistoryView
	if err := json.NewDecoder(answer.Body).Decode(&h); err != nil {
		c.t.Fatal(err)
	}
	return h
}
