package e2e

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/standin"
)

// watchConfiguration notes the version that each VM has in force until stop is
// called. A VM that does not answer is passed over.
func (c *cluster) watchConfiguration() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for _, vm := range c.entries {
				if d := c.dump(vm); d.Ready == "ready" {
					c.note(checker.Event{Type: checker.ConfigurationInForce, VM: vm.name, Version: d.Resources.Offset})
				}
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// change writes pools and notes their versions as accepted.
func (c *cluster) change(first, count int, vms ...*entryVM) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for i := range count {
		pool := api.Resource{Meta: api.Meta{Kind: api.KindPool, Name: fmt.Sprintf("pool-%d", first+i)}, Pool: &api.PoolSpec{DataCentres: []string{"giza"}}}
		written, err := c.operator(vms...).Put(ctx, pool, client.WriteOptions{})
		if err != nil {
			c.t.Fatal(err)
		}
		c.note(checker.Event{Type: checker.ConfigurationAccepted, Version: int64(written.Version)})
	}
}

// highest returns the highest version that some VM has applied.
func (c *cluster) highest() int64 {
	highest := int64(0)
	for _, vm := range c.entries {
		highest = max(highest, c.dump(vm).Resources.Offset)
	}
	return highest
}

// Guards against a version that comes into force late or goes back: while a
// data centre can reach the log only through its peers, after a VM is replaced,
// and while the log can't be reached by anybody.
func TestConfigurationReachesAll(t *testing.T) {
	is := is.New(t)
	c := start(t, twoCentres)
	stop := c.watchConfiguration()
	c.change(0, 5)
	c.fault(standin.Fault{Kind: standin.FaultDown, Target: "log/maadi"})
	c.change(5, 5)
	replaced := c.entries[0]
	c.signal(replaced, syscall.SIGKILL)
	<-replaced.exited
	c.change(10, 5, c.without(replaced)...)
	c.fault(standin.Fault{Kind: standin.FaultDown, Target: "log"})
	c.startEntry(replaced)
	c.await("the replaced VM is ready without the log", func() bool { return c.dump(replaced).Ready == "ready" })
	is.Equal(c.dump(replaced).Resources.Offset, c.highest())
	c.note(checker.Event{Type: checker.VMStarted, VM: replaced.name})
	c.fault(standin.Fault{Kind: standin.FaultDown, Target: "log", Off: true})
	c.change(15, 5)
	version := c.highest()
	c.await("all VMs have the newest version", func() bool {
		for _, vm := range c.entries {
			if c.dump(vm).Resources.Offset < version {
				return false
			}
		}
		return true
	})
	time.Sleep(200 * time.Millisecond) // two rounds of the watch
	stop()
	c.judge()
}
