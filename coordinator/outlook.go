package coordinator

import (
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/admission"
	"github.com/cactusreel/cactusreel/coordinator/coordpb"
)

// maxOutlookBytes limits the size of an outlook. A larger one is neither sent nor read, so that nothing
// is rejected.
const maxOutlookBytes = 32 << 10

const (
	// maxOutlookVersion is a version that a request can name: it has the version plus one.
	maxOutlookVersion = math.MaxInt64 - 1
	// maxOutlookTime limits the age and the drain times of an outlook.
	maxOutlookTime = time.Hour
)

// Reasons for which an outlook of an owner is ignored. The metric outlooks_ignored has their text.
var (
	errOutlookVersion   = errors.New("version out of range")
	errOutlookAge       = errors.New("age out of range")
	errOutlookSize      = errors.New("too large")
	errOutlookName      = errors.New("name not valid")
	errOutlookNumber    = errors.New("number not finite")
	errOutlookShare     = errors.New("share out of range")
	errOutlookDrain     = errors.New("drain out of range")
	errOutlookCount     = errors.New("count out of range")
	errOutlookSizeCount = errors.New("other sizes")
)

// outlooks are a cell's outlooks: that of this node, while it owns the cell, and the one it was told by
// the owner.
type outlooks struct {
	mu sync.Mutex
	// version numbers the outlooks of this process. message is the encoding of own, without version
	// and age.
	version int64
	own     datedOutlook
	message *coordpb.Outlook
	told    datedOutlook
	// toldVersion is the owner's version of told.
	toldVersion int64
}

// datedOutlook is an outlook of an epoch as of a time of this node's monotonic clock.
type datedOutlook struct {
	outlook *admission.Outlook
	epoch   int64
	at      time.Duration
}

// publish replaces this owner's outlook. One that callers would ignore is replaced by an empty one.
func (o *outlooks) publish(outlook *admission.Outlook, epoch int64, now time.Duration) {
	message := encodeOutlook(outlook)
	// The longest encoding of the two counts towards the size.
	message.Version, message.AgeMs = maxOutlookVersion, maxOutlookTime.Milliseconds()
	if _, _, _, err := decodeOutlook(message); err != nil {
		outlook, message = &admission.Outlook{}, &coordpb.Outlook{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.own, o.message = datedOutlook{outlook, epoch, now}, message
}

// begin forgets the outlook of an earlier epoch of this process.
func (o *outlooks) begin(epoch int64, now time.Duration) {
	o.mu.Lock()
	published := o.version > 0
	o.mu.Unlock()
	if published {
		o.publish(&admission.Outlook{}, epoch, now)
	}
}

// knownVersion returns the version of the outlook that this node was told by the owner of an epoch.
func (o *outlooks) knownVersion(epoch int64) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.told.epoch != epoch {
		return 0
	}
	return o.toldVersion
}

// current returns the outlook of the owner of an epoch, with its age. It returns nil if there is none.
func (o *outlooks) current(owning bool, epoch int64, now time.Duration) (*admission.Outlook, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	dated := o.told
	if owning {
		dated = o.own
	}
	if dated.epoch != epoch {
		return nil, 0
	}
	return dated.outlook, now - dated.at
}

// requestedOutlook returns the field of a request that has the owner of an epoch tell its outlook, if this
// node doesn't have it. Each node that accepts submissions makes such calls, so telling costs none.
func (c *cell) requestedOutlook(epoch int64) int64 { return c.outlooks.knownVersion(epoch) + 1 }

// outlookFor returns this owner's outlook for the answer to a call that requests it. It returns nil if the
// caller takes none or has it.
func (c *cell) outlookFor(requested int64) *coordpb.Outlook {
	o := &c.outlooks
	o.mu.Lock()
	defer o.mu.Unlock()
	if requested <= 0 || o.version == 0 || requested == o.version+1 || o.own.epoch != c.newestEpoch.Load() {
		return nil
	}
	age := c.node.monotonicNow() - o.own.at
	return &coordpb.Outlook{
		Version: o.version, AgeMs: max(0, age.Milliseconds()),
		Queues: o.message.Queues, Rooms: o.message.Rooms,
	}
}

// learnOutlook keeps the outlook in an answer of the owner of an epoch, if it has one. Of an outlook with
// contents that are not valid only the version is kept, so that nothing is rejected and the owner doesn't
// tell it again.
func (c *cell) learnOutlook(epoch int64, m *coordpb.Outlook) {
	if m == nil {
		return
	}
	now := c.node.monotonicNow()
	version, age, outlook, err := decodeOutlook(m)
	if err != nil {
		c.node.metrics.count("outlooks_ignored", "reason", err.Error())
	}
	if version == 0 {
		return
	}
	o := &c.outlooks
	o.mu.Lock()
	defer o.mu.Unlock()
	if epoch < o.told.epoch || epoch == o.told.epoch && version <= o.toldVersion {
		return
	}
	o.told, o.toldVersion = datedOutlook{outlook, epoch, now - age}, version
}

// encodeOutlook encodes an outlook, without its version and age.
func encodeOutlook(o *admission.Outlook) *coordpb.Outlook {
	m := &coordpb.Outlook{}
	for _, name := range slices.Sorted(maps.Keys(o.Queues)) {
		q := o.Queues[name]
		queue := &coordpb.QueueOutlook{Queue: name, Scale: q.Scale, Slope: q.Slope, Quantiles: slices.Clone(q.Quantiles)}
		for _, size := range q.Sizes {
			queue.Sizes = append(queue.Sizes, &coordpb.SizeOutlook{
				Rejecting: size.Rejecting, Share: size.Share, DrainMs: size.Drain.Milliseconds(),
				Waiting: int64(size.Waiting), Started: int64(size.Started), Late: int64(size.Late),
			})
		}
		m.Queues = append(m.Queues, queue)
	}
	for _, service := range slices.Sorted(maps.Keys(o.Rooms)) {
		m.Rooms = append(m.Rooms, &coordpb.Room{Service: service, Tasks: slices.Clone(o.Rooms[service])})
	}
	return m
}

// decodeOutlook decodes an outlook with its version and age. An error says why it is ignored; the version
// is 0 then, unless only the contents are not valid.
func decodeOutlook(m *coordpb.Outlook) (version int64, age time.Duration, outlook *admission.Outlook, err error) {
	switch {
	case m.Version <= 0 || m.Version > maxOutlookVersion:
		return 0, 0, nil, errOutlookVersion
	case m.AgeMs < 0 || m.AgeMs > maxOutlookTime.Milliseconds():
		return 0, 0, nil, errOutlookAge
	case proto.Size(m) > maxOutlookBytes:
		return 0, 0, nil, errOutlookSize
	}
	outlook, err = decodeContents(m)
	return m.Version, time.Duration(m.AgeMs) * time.Millisecond, outlook, err
}

// decodeContents decodes an outlook without its version and age. It returns nil with an error.
func decodeContents(m *coordpb.Outlook) (*admission.Outlook, error) {
	o := &admission.Outlook{Queues: make(map[string]*admission.QueueOutlook), Rooms: make(map[string]admission.Room)}
	for _, q := range m.Queues {
		if o.Queues[q.GetQueue()] != nil || !utf8.ValidString(q.GetQueue()) {
			return nil, errOutlookName
		}
		queue, err := decodeQueueOutlook(q)
		if err != nil {
			return nil, err
		}
		o.Queues[q.GetQueue()] = queue
	}
	for _, r := range m.Rooms {
		if _, known := o.Rooms[r.GetService()]; known || !utf8.ValidString(r.GetService()) {
			return nil, errOutlookName
		}
		if slices.ContainsFunc(r.GetTasks(), func(tasks int32) bool { return tasks < 0 }) {
			return nil, errOutlookCount
		}
		o.Rooms[r.GetService()] = slices.Clone(r.GetTasks())
	}
	return o, nil
}

func decodeQueueOutlook(m *coordpb.QueueOutlook) (*admission.QueueOutlook, error) {
	q := &admission.QueueOutlook{Sizing: admission.Sizing{Scale: m.GetScale(), Slope: m.GetSlope(), Quantiles: slices.Clone(m.GetQuantiles())}}
	if !isFinite(q.Scale) || !isFinite(q.Slope) || slices.ContainsFunc(q.Quantiles, func(x float64) bool { return !isFinite(x) }) {
		return nil, errOutlookNumber
	}
	if len(m.GetSizes()) != len(q.Sizes) {
		return nil, errOutlookSizeCount
	}
	for i, size := range m.GetSizes() {
		switch share, drain := size.GetShare(), size.GetDrainMs(); {
		case !isFinite(share):
			return nil, errOutlookNumber
		case share < 0 || share > 1:
			return nil, errOutlookShare
		case drain < 0 || drain > maxOutlookTime.Milliseconds():
			return nil, errOutlookDrain
		case min(size.GetWaiting(), size.GetStarted(), size.GetLate()) < 0:
			return nil, errOutlookCount
		}
		q.Sizes[i] = admission.SizeOutlook{
			Rejecting: size.GetRejecting(), Share: size.GetShare(), Drain: time.Duration(size.GetDrainMs()) * time.Millisecond,
			Waiting: int(size.GetWaiting()), Started: int(size.GetStarted()), Late: int(size.GetLate()),
		}
	}
	return q, nil
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
