package coordinator

import (
	"encoding/json"
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/admission"
)

// outlookField is a field of NotifyRequest, NotifyAnswer, StatesRequest and StatesAnswer that the
// generated code doesn't know, and that nodes of earlier versions leave out. In a request it has the
// version of the outlook that the caller has, plus one, in an answer the owner's outlook if that is
// another one. Each node that accepts submissions makes such calls, so telling costs none.
const outlookField protowire.Number = 15

// maxOutlookBytes limits the size of an outlook. A larger one is neither sent nor read, so that nothing
// is rejected.
const maxOutlookBytes = 32 << 10

// outlooks are a cell's outlooks: that of this node, while it owns the cell, and the one it was told by
// the owner.
type outlooks struct {
	mu sync.Mutex
	// version numbers the outlooks of this process. data is the encoding of own.
	version int64
	own     datedOutlook
	data    []byte
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

// publish replaces this owner's outlook.
func (o *outlooks) publish(outlook *admission.Outlook, epoch int64, now time.Duration) {
	data, err := json.Marshal(outlook)
	if err != nil || len(data) > maxOutlookBytes {
		outlook, data = &admission.Outlook{}, []byte("{}")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.own, o.data = datedOutlook{outlook, epoch, now}, data
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

// requestOutlook has the owner of an epoch tell its outlook, if this node doesn't have it.
func (c *cell) requestOutlook(q proto.Message, epoch int64) {
	b := protowire.AppendTag(nil, outlookField, protowire.VarintType)
	q.ProtoReflect().SetUnknown(protowire.AppendVarint(b, uint64(c.outlooks.knownVersion(epoch))+1))
}

// tellOutlook adds this owner's outlook to the answer to a call, if the caller takes it and has another
// one.
func (c *cell) tellOutlook(q, answer proto.Message) {
	known, _ := unknownField(q, outlookField)
	o := &c.outlooks
	o.mu.Lock()
	defer o.mu.Unlock()
	if known == 0 || known == uint64(o.version)+1 || o.own.epoch != c.newestEpoch.Load() {
		return
	}
	age := c.node.monotonicNow() - o.own.at
	b := protowire.AppendVarint(nil, uint64(o.version))
	b = protowire.AppendVarint(b, uint64(max(0, age.Milliseconds())))
	b = append(b, o.data...)
	answer.ProtoReflect().SetUnknown(protowire.AppendBytes(protowire.AppendTag(nil, outlookField, protowire.BytesType), b))
}

// learnOutlook keeps the outlook in an answer of the owner of an epoch, if it has one.
func (c *cell) learnOutlook(epoch int64, answer proto.Message) {
	now := c.node.monotonicNow()
	_, data := unknownField(answer, outlookField)
	version, age, outlook := decodeOutlook(data)
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

// decodeOutlook decodes an outlook with its version and age. It returns nil if there is none.
func decodeOutlook(data []byte) (version int64, age time.Duration, outlook *admission.Outlook) {
	if len(data) == 0 || len(data) > maxOutlookBytes+2*10 {
		return 0, 0, nil
	}
	number, n := protowire.ConsumeVarint(data)
	if n < 0 || number > math.MaxInt64 {
		return 0, 0, nil
	}
	millis, m := protowire.ConsumeVarint(data[n:])
	if m < 0 || millis > uint64(time.Hour/time.Millisecond) {
		return 0, 0, nil
	}
	outlook = new(admission.Outlook)
	if err := json.Unmarshal(data[n+m:], outlook); err != nil {
		outlook = nil
	}
	return int64(number), time.Duration(millis) * time.Millisecond, outlook
}

// unknownField returns the value of a varint or bytes field that the generated code doesn't know.
func unknownField(m proto.Message, wanted protowire.Number) (value uint64, data []byte) {
	for b := m.ProtoReflect().GetUnknown(); len(b) > 0; {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return 0, nil
		}
		b = b[n:]
		size := protowire.ConsumeFieldValue(number, kind, b)
		if size < 0 {
			return 0, nil
		}
		if number == wanted {
			switch kind {
			case protowire.VarintType:
				value, _ = protowire.ConsumeVarint(b)
			case protowire.BytesType:
				data, _ = protowire.ConsumeBytes(b)
			}
		}
		b = b[size:]
	}
	return value, data
}
