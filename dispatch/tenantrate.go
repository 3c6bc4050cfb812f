package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
)

// A tenant is promised the service of as many submissions a second as its weight says. Of what it sends
// beyond that, any that was served before one within the promise would break it. So the former come after
// the latter, whose callers see as little of the excess as possible.

// rateSpan is the time over which a tenant may spread its submissions unevenly: a small one sends several at
// once, and then none for seconds.
const rateSpan = 5 * time.Second

// rateBucket counts what a tenant may still send within its rate. It fills at the rate, up to what it may
// send in rateSpan.
type rateBucket struct {
	tokens float64
	at     time.Time
}

// take takes a submission of a time out of a bucket and reports whether it was within the rate.
func (b *rateBucket) take(at time.Time, rate float64) bool {
	most := max(1, rate*rateSpan.Seconds())
	if b.at.IsZero() {
		b.tokens, b.at = most, at
	}
	if passed := at.Sub(b.at); passed > 0 {
		b.tokens, b.at = min(most, b.tokens+rate*passed.Seconds()), at
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// rateExcess has the submissions that are beyond the rates of their tenants.
type rateExcess struct {
	buckets map[string]*rateBucket
	// beyond has the submissions that were looked at, and whether they are.
	beyond map[*ledger.Entry]bool
	// live counts those of each tenant that are, and are not final.
	live map[string]int
}

func newRateExcess() rateExcess {
	return rateExcess{buckets: make(map[string]*rateBucket), beyond: make(map[*ledger.Entry]bool), live: make(map[string]int)}
}

// rateAccepted looks at a submission once, when it is first known.
func (m *Machine) rateAccepted(e *ledger.Entry) {
	x := &m.tenants.overRate
	t := m.tenants.declared.Find(e.Tenant)
	if _, known := x.beyond[e]; known || t == nil || e.Guest() {
		return
	}
	if x.buckets[t.Name] == nil {
		x.buckets[t.Name] = new(rateBucket)
	}
	x.beyond[e] = !x.buckets[t.Name].take(e.AcceptedAt, t.Weight/float64(max(1, m.config.Cells)))
	if x.beyond[e] {
		x.live[e.Tenant]++
	}
}

// rateInherited looks at the submissions that are live when the tenants are first known. Of those accepted
// before, only these are known, so that fewer than there are count as beyond the rates.
func (m *Machine) rateInherited() {
	live := slices.Clone(m.ledger.Live())
	slices.SortStableFunc(live, func(a, b *ledger.Entry) int {
		return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, e := range live {
		m.rateAccepted(e)
	}
}

// forgetRates forgets submissions that are final.
func (m *Machine) forgetRates() {
	x := &m.tenants.overRate
	maps.DeleteFunc(x.beyond, func(e *ledger.Entry, beyond bool) bool {
		if !e.State().Final() {
			return false
		}
		if beyond {
			x.live[e.Tenant]--
		}
		return true
	})
}
