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

// watchConfiguration records the version that each VM has in force, repeatedly
// until stop is called. A VM that does not respond is skipped.
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
					c.recordEvent(checker.Event{Type: checker.ConfigurationInForce, VM: vm.name, Version: d.Resources.Offset})
				}
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// writePools writes pools and records their versions as accepted.
func (c *cluster) writePools(first, count int, vms ...*entryVM) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	for i := range count {
		pool := api.Resource{Meta: api.Meta{Kind: api.KindPool, Name: fmt.Sprintf("pool-%d", first+i)}, Pool: &api.PoolSpec{DataCentres: []string{"giza"}}}
		written, err := c.operatorClient(vms...).Put(ctx, pool, client.WriteOptions{})
		if err != nil {
			c.t.Fatal(err)
		}
		c.recordEvent(checker.Event{Type: checker.ConfigurationAccepted, Version: int64(written.Version)})
	}
}

// highestVersion returns the highest version that any VM has applied.
func (c *cluster) highestVersion() int64 {
	highest := int64(0)
	for _, vm := range c.entries {
		highest = max(highest, c.dump(vm).Resources.Offset)
	}
	return highest
}

// Guards against a configuration version that comes into force late or is
// reverted: while a data centre can reach the log only through its peers, after a
// VM is replaced, and while the log is unavailable to all.
func TestConfigurationReachesAll(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, twoDataCentres)
	stop := c.watchConfiguration()
	c.writePools(0, 5)
	c.setFault(standin.Fault{Kind: standin.FaultDown, Target: "log/maadi"})
	c.writePools(5, 5)
	replaced := c.entries[0]
	c.signal(replaced, syscall.SIGKILL)
	<-replaced.exited
	c.writePools(10, 5, c.except(replaced)...)
	c.setFault(standin.Fault{Kind: standin.FaultDown, Target: "log"})
	c.startEntry(replaced)
	c.await("the replaced VM is ready without the log", func() bool { return c.dump(replaced).Ready == "ready" })
	is.Equal(c.dump(replaced).Resources.Offset, c.highestVersion())
	c.recordEvent(checker.Event{Type: checker.VMStarted, VM: replaced.name})
	c.setFault(standin.Fault{Kind: standin.FaultDown, Target: "log", Off: true})
	c.writePools(15, 5)
	version := c.highestVersion()
	c.await("all VMs have the newest version", func() bool {
		for _, vm := range c.entries {
			if c.dump(vm).Resources.Offset < version {
				return false
			}
		}
		return true
	})
	time.Sleep(200 * time.Millisecond) // two rounds of watchConfiguration
	stop()
	c.checkHistory()
}
