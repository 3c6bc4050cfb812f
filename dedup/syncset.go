package dedup

import "slices"

// syncSet tracks which peers must acknowledge intents. It is used under the
// table's lock.
//
// A peer is required from the moment a copy is made for it. Until a renewal
// that names it has been offered to the log, a missing acknowledgement only
// ends its copy. From then on it is required until a renewal without it, made
// after every renewal with it, has been recorded.
type syncSet struct {
	peers map[string]*syncPeer
	// offered is the serial of the last renewal made, renewals keeps those not
	// yet recorded.
	offered  uint64
	renewals map[uint64][]string
	// copies counts the exports; it is the serial of the newest one.
	copies uint64
}

// syncPeer is one peer's place in the set.
type syncPeer struct {
	// ready is set while the peer is known to hold a full copy.
	ready bool
	// copying is set while a copy is being transferred.
	copying bool
	// copySerial is the serial of the newest copy.
	copySerial uint64
	// lastOffer is the serial of the newest renewal that names the peer, or 0.
	lastOffer uint64
}

func newSyncSet() syncSet {
	return syncSet{peers: map[string]*syncPeer{}, renewals: map[uint64][]string{}}
}

func (s *syncSet) beginCopy(vm string, serial uint64) {
	p := s.peers[vm]
	if p == nil {
		p = &syncPeer{}
		s.peers[vm] = p
	}
	p.copying = true
	p.ready = false
	p.copySerial = serial
}

func (s *syncSet) imported(vm string, serial uint64) {
	p := s.peers[vm]
	if p != nil && p.copying && p.copySerial == serial {
		p.copying = false
		p.ready = true
	}
}

// missed records a missing acknowledgement.
func (s *syncSet) missed(vm string) {
	p := s.peers[vm]
	if p == nil {
		return
	}
	p.ready = false
	p.copying = false
	if p.lastOffer == 0 {
		delete(s.peers, vm)
	}
}

// required lists the peers whose acknowledgement an intent needs.
func (s *syncSet) required() []string {
	list := make([]string, 0, len(s.peers))
	for vm := range s.peers {
		list = append(list, vm)
	}
	slices.Sort(list)
	return list
}

func (s *syncSet) needs(vm string) bool {
	return s.peers[vm] != nil
}

// offer makes the synced set of the next renewal.
func (s *syncSet) offer() (serial uint64, synced []string) {
	s.offered++
	for vm, p := range s.peers {
		if p.ready {
			p.lastOffer = s.offered
			synced = append(synced, vm)
		}
	}
	slices.Sort(synced)
	s.renewals[s.offered] = synced
	return s.offered, synced
}

// recorded ends the requirement of peers that no renewal from this one on names.
func (s *syncSet) recorded(serial uint64) {
	if _, ok := s.renewals[serial]; !ok {
		return
	}
	for old := range s.renewals {
		if old <= serial {
			delete(s.renewals, old)
		}
	}
	for vm, p := range s.peers {
		if p.lastOffer >= serial {
			continue
		}
		p.lastOffer = 0
		if !p.ready && !p.copying {
			delete(s.peers, vm)
		}
	}
}
