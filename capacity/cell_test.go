package capacity

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a cycle that starts no attempt, which would make the measured
// cost too low.
func TestCellCycles(t *testing.T) {
	is := is.New(t)
	c := NewCell(60)
	is.Equal(c.Running(), 60)
	before, _ := c.Machine.Task(c.work.TaskID(7))
	offset := c.offset
	c.Cycle(7)
	c.ObserveAll()
	after, _ := c.Machine.Task(c.work.TaskID(7))
	is.Equal(after.Attempt, before.Attempt+1)
	is.Equal(c.offset, offset+3)
	is.Equal(c.Running(), 60)
}

// Guards against measurements that no longer work with the measured code. The
// measurements check their own preconditions.
func TestSmallMeasurements(t *testing.T) {
	is := is.New(t)
	r, err := Run([]string{"claims", "records"})
	is.NoErr(err)
	is.Equal(len(r.Slopes()), 2)
	_, err = copyTableOf(100)
	is.NoErr(err)
	_, err = Run([]string{"nothing"})
	is.True(err != nil)
}

func copyTableOf(ids int) (int, error) {
	table, err := newRequestTable(ids)
	if err != nil {
		return 0, err
	}
	return copyTable(table)
}
