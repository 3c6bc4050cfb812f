package ledger

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Identity tells the submission that has an id from others that come with the same id: callers choose
// their ids, and those of two queues don't know of each other.
type Identity struct {
	// Queue is "" if only the state of the submission is known.
	Tenant, Queue string
	// Fingerprint is that of what the caller sent, or 0 if the record of the submission has none.
	Fingerprint workload.Fingerprint
	// Rounded is that of what the record has, or 0 if it is not known: times are rounded there.
	Rounded workload.Fingerprint
}

// IdentityOf returns the identity of what a caller sent.
func IdentityOf(s *workload.Submission) Identity { return RecordIdentity(SubmittedRecord(s).Submitted) }

// RecordIdentity returns the identity of a submission's record.
func RecordIdentity(r *ledgerpb.Submitted) Identity {
	rounded := submissionOf(r)
	return Identity{Tenant: r.Tenant, Queue: r.Queue, Fingerprint: workload.Fingerprint(r.Fingerprint), Rounded: rounded.Fingerprint()}
}

// Identity returns the identity of the entry's submission.
func (e *Entry) Identity() Identity {
	id := Identity{Tenant: e.Tenant, Queue: e.Queue, Fingerprint: e.fingerprint, Rounded: e.rounded}
	if id.Fingerprint == 0 && len(e.Steps) > 0 {
		id.Rounded = e.Fingerprint()
	}
	return id
}

// IsRepeat reports whether another identity is that of the same submission to the same queue. What
// isn't known of either counts as equal.
func (i Identity) IsRepeat(other Identity) bool {
	switch {
	case i.Queue != "" && other.Queue != "" && i.Queue != other.Queue:
		return false
	case i.Fingerprint != 0 && other.Fingerprint != 0:
		return i.Fingerprint == other.Fingerprint
	}
	return i.Rounded == 0 || other.Rounded == 0 || i.Rounded == other.Rounded
}

// submittedField is the number of the field of a record with the body of a submission.
var submittedField = (&ledgerpb.Record{}).ProtoReflect().Descriptor().Fields().ByName("submitted").Number()

// HasSubmission reports whether an encoded record is that of a submission, without decoding it.
func HasSubmission(data []byte) bool {
	for len(data) > 0 {
		number, _, n := protowire.ConsumeField(data)
		if n < 0 {
			return false
		}
		if number == submittedField {
			return true
		}
		data = data[n:]
	}
	return false
}
