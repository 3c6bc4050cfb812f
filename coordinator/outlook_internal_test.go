package coordinator

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/admission"
	"github.com/cactusreel/cactusreel/coordinator/coordpb"
)

// completeOutlook has a value in each field.
func completeOutlook() *admission.Outlook {
	q := &admission.QueueOutlook{Sizing: admission.Sizing{Scale: 1.5, Slope: 0.75, Quantiles: []float64{1, 2.5, 4}}}
	for i := range q.Sizes {
		q.Sizes[i] = admission.SizeOutlook{
			Rejecting: i != 1, Share: 0.25 * float64(i+1), Drain: time.Duration(i+1) * 1100 * time.Millisecond,
			Waiting: 10 + i, Started: 20 + i, Late: 30 + i,
		}
	}
	return &admission.Outlook{
		Queues: map[string]*admission.QueueOutlook{"q": q, "other": new(admission.QueueOutlook)},
		Rooms:  map[string]admission.Room{"s": {5, 3, 0}, "t": {1}},
	}
}

// newOutlookCells returns the first cells of an owner of epoch 3 and of another node.
func newOutlookCells() (owner, other *cell) {
	owner = NewNode(Config{VM: "a", Cells: 1}, Platform{}, nil, NewMetrics()).cells[0]
	owner.newestEpoch.Store(3)
	return owner, NewNode(Config{VM: "b", Cells: 1}, Platform{}, nil, NewMetrics()).cells[0]
}

// encoded returns what a reader of an encoding has of an outlook.
func encoded(is *is.I, m *coordpb.Outlook) *coordpb.Outlook {
	data, err := proto.Marshal(&coordpb.NotifyAnswer{Outlook: m})
	is.NoErr(err)
	answer := &coordpb.NotifyAnswer{}
	is.NoErr(proto.Unmarshal(data, answer))
	is.Equal(len(answer.ProtoReflect().GetUnknown()), 0)
	return answer.Outlook
}

// Guards against a value of an outlook that is lost or changed on the way to another node.
func TestOutlookIsToldCompletely(t *testing.T) {
	is := is.New(t)
	owner, other := newOutlookCells()
	now := owner.node.monotonicNow()
	owner.outlooks.publish(completeOutlook(), 3, now-1500*time.Millisecond)
	other.learnOutlook(3, encoded(is, owner.outlookFor(other.requestedOutlook(3))))
	outlook, age := other.outlooks.current(false, 3, other.node.monotonicNow())
	is.Equal(outlook, completeOutlook())
	is.True(age >= 1490*time.Millisecond && age < time.Minute)
	own, _ := owner.outlooks.current(true, 3, now)
	is.Equal(own, completeOutlook())
}

// Guards against an outlook that a caller is told which doesn't request it, has it already, or would take
// that of an earlier epoch, and against one that it isn't told.
func TestOutlookIsToldToCallersWithoutIt(t *testing.T) {
	is := is.New(t)
	owner, other := newOutlookCells()
	is.Equal(other.requestedOutlook(3), int64(1))
	is.True(owner.outlookFor(1) == nil)
	is.True(owner.outlookFor(7) == nil)
	owner.outlooks.publish(completeOutlook(), 3, 0)
	is.True(owner.outlookFor(0) == nil)
	is.True(owner.outlookFor(-1) == nil)
	is.True(owner.outlookFor(math.MinInt64) == nil)
	is.True(owner.outlookFor(math.MaxInt64) != nil)
	other.learnOutlook(3, owner.outlookFor(1))
	is.Equal(other.requestedOutlook(3), int64(2))
	is.True(owner.outlookFor(2) == nil)
	is.Equal(other.requestedOutlook(4), int64(1))
	owner.outlooks.publish(&admission.Outlook{}, 3, 0)
	other.learnOutlook(3, owner.outlookFor(2))
	outlook, _ := other.outlooks.current(false, 3, 0)
	is.True(outlook != nil && outlook.Empty())
	is.Equal(other.requestedOutlook(3), int64(3))
	other.learnOutlook(3, nil)
	is.Equal(other.requestedOutlook(3), int64(3))
	owner.newestEpoch.Store(4)
	is.True(owner.outlookFor(1) == nil)
}

// Guards against rejections by an outlook of a faulty owner, one that takes the place of a valid one though
// its version or age can't be used, and one that is told with each answer.
func TestMalformedOutlooksAreIgnored(t *testing.T) {
	is := is.New(t)
	size := func(m *coordpb.Outlook) *coordpb.SizeOutlook { return m.Queues[1].Sizes[2] }
	type change = func(*coordpb.Outlook)
	for reason, changes := range map[error][]change{
		errOutlookVersion: {
			func(m *coordpb.Outlook) { m.Version = 0 }, func(m *coordpb.Outlook) { m.Version = -1 },
			func(m *coordpb.Outlook) { m.Version = math.MaxInt64 },
		},
		errOutlookAge: {
			func(m *coordpb.Outlook) { m.AgeMs = -1 }, func(m *coordpb.Outlook) { m.AgeMs = time.Hour.Milliseconds() + 1 },
			func(m *coordpb.Outlook) { m.AgeMs = math.MaxInt64 },
		},
		errOutlookSize: {
			func(m *coordpb.Outlook) { m.Queues[0].Queue = strings.Repeat("q", maxOutlookBytes) },
			func(m *coordpb.Outlook) { m.Rooms[0].Tasks = make([]int32, maxOutlookBytes) },
		},
		errOutlookName: {
			func(m *coordpb.Outlook) { m.Queues[1].Queue = m.Queues[0].Queue }, func(m *coordpb.Outlook) { m.Rooms[1].Service = m.Rooms[0].Service },
			func(m *coordpb.Outlook) { m.Queues[0].Queue = "\xff" }, func(m *coordpb.Outlook) { m.Rooms[0].Service = "\xff" },
		},
		errOutlookNumber: {
			func(m *coordpb.Outlook) { m.Queues[1].Scale = math.NaN() }, func(m *coordpb.Outlook) { m.Queues[1].Slope = math.Inf(1) },
			func(m *coordpb.Outlook) { m.Queues[1].Quantiles[2] = math.Inf(-1) }, func(m *coordpb.Outlook) { size(m).Share = math.NaN() },
			func(m *coordpb.Outlook) { size(m).Share = math.Inf(1) },
		},
		errOutlookShare: {func(m *coordpb.Outlook) { size(m).Share = -0.001 }, func(m *coordpb.Outlook) { size(m).Share = 1.001 }},
		errOutlookDrain: {
			func(m *coordpb.Outlook) { size(m).DrainMs = -1 }, func(m *coordpb.Outlook) { size(m).DrainMs = time.Hour.Milliseconds() + 1 },
			func(m *coordpb.Outlook) { size(m).DrainMs = math.MaxInt64 },
		},
		errOutlookCount: {
			func(m *coordpb.Outlook) { size(m).Waiting = -1 }, func(m *coordpb.Outlook) { size(m).Started = -1 },
			func(m *coordpb.Outlook) { size(m).Late = math.MinInt64 }, func(m *coordpb.Outlook) { m.Rooms[1].Tasks[0] = -1 },
		},
		errOutlookSizeCount: {
			func(m *coordpb.Outlook) { m.Queues[1].Sizes = m.Queues[1].Sizes[:2] }, func(m *coordpb.Outlook) { m.Queues[0].Sizes = nil },
			func(m *coordpb.Outlook) { m.Queues[1].Sizes = append(m.Queues[1].Sizes, &coordpb.SizeOutlook{}) },
		},
	} {
		for i, change := range changes {
			t.Run(fmt.Sprint(reason, i), func(t *testing.T) {
				is := is.New(t)
				_, other := newOutlookCells()
				valid := encodeOutlook(completeOutlook())
				valid.Version = 4
				other.learnOutlook(3, valid)
				m := encodeOutlook(completeOutlook())
				m.Version = 5
				change(m)
				_, _, outlook, err := decodeOutlook(m)
				is.Equal(err, reason)
				is.True(outlook == nil)
				other.learnOutlook(3, m)
				outlook, _ = other.outlooks.current(false, 3, 0)
				if slices.Contains([]error{errOutlookVersion, errOutlookAge, errOutlookSize}, reason) {
					is.Equal(outlook, completeOutlook())
					is.Equal(other.requestedOutlook(3), int64(5))
				} else {
					is.True(outlook == nil)
					is.Equal(other.requestedOutlook(3), int64(6))
				}
			})
		}
	}
	// The limits themselves, and a message without what proto3 leaves out.
	m := encodeOutlook(completeOutlook())
	m.Version, m.AgeMs, size(m).Share, size(m).DrainMs = maxOutlookVersion, time.Hour.Milliseconds(), 1, time.Hour.Milliseconds()
	_, _, _, err := decodeOutlook(m)
	is.NoErr(err)
	_, _, _, err = decodeOutlook(&coordpb.Outlook{Version: 1})
	is.NoErr(err)
}

// Guards against an owner that tells, or rejects by, an outlook that the other nodes ignore, and against an
// answer that can't be encoded.
func TestOwnerPublishesNoOutlookThatIsIgnored(t *testing.T) {
	is := is.New(t)
	owner, other := newOutlookCells()
	for _, change := range []func(*admission.Outlook){
		func(o *admission.Outlook) { o.Queues["q"].Scale = math.NaN() },
		func(o *admission.Outlook) { o.Queues["\xff"] = o.Queues["q"] },
		func(o *admission.Outlook) { o.Queues[strings.Repeat("q", maxOutlookBytes)] = o.Queues["q"] },
	} {
		outlook := completeOutlook()
		change(outlook)
		owner.outlooks.publish(outlook, 3, 0)
		own, _ := owner.outlooks.current(true, 3, 0)
		is.True(own != nil && own.Empty())
		other.learnOutlook(3, encoded(is, owner.outlookFor(other.requestedOutlook(3))))
		told, _ := other.outlooks.current(false, 3, 0)
		is.True(told != nil && told.Empty())
	}
	// One of nearly the limit is told, whatever its version and age.
	outlook := completeOutlook()
	name := strings.Repeat("s", 1000)
	for i := 0; proto.Size(encodeOutlook(outlook)) < maxOutlookBytes-1200; i++ {
		outlook.Rooms[fmt.Sprint(name, i)] = admission.NewRoom()
	}
	owner.outlooks.publish(outlook, 3, 0)
	other.learnOutlook(3, encoded(is, owner.outlookFor(other.requestedOutlook(3))))
	told, _ := other.outlooks.current(false, 3, 0)
	is.Equal(told, outlook)
	// One that the version and the age may bring above the limit is not.
	padding := maxOutlookBytes - 5 - proto.Size(encodeOutlook(outlook))
	padded := strings.Repeat("p", padding-8)
	for outlook.Rooms[padded] = nil; proto.Size(encodeOutlook(outlook)) < maxOutlookBytes-5; outlook.Rooms[padded] = nil {
		delete(outlook.Rooms, padded)
		padded += "p"
	}
	owner.outlooks.publish(outlook, 3, 0)
	m := owner.outlookFor(1)
	m.Version, m.AgeMs = maxOutlookVersion, time.Hour.Milliseconds()
	_, _, _, err := decodeOutlook(m)
	is.NoErr(err)
}
