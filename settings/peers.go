package settings

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cactusreel/cactusreel/api"
)

// peersPrefix is the prefix of the sections that list the entry VMs of one data
// centre, for example [peers.giza].
const peersPrefix = "peers."

// readPeers reads the peers sections, in which each key is the id of an entry
// VM and its value the address on which that VM listens for peers.
func (l *loader) readPeers() {
	for _, section := range l.file.Sections() {
		dataCentre, isPeers := strings.CutPrefix(section.Name(), peersPrefix)
		if !isPeers {
			continue
		}
		if !api.ValidName(dataCentre) {
			l.addMistake(section.Name(), "", "the data centre is "+quoted(dataCentre), nameAccepted)
		}
		for _, k := range section.Keys() {
			l.readPeer(section.Name(), dataCentre, k.Name())
		}
	}
	slices.SortFunc(l.entry.Peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.VM, b.VM))
	})
	l.checkPeers()
}

func (l *loader) readPeer(section, dataCentre, vm string) {
	address, _ := l.value(section, vm)
	if !api.ValidVMID(vm) {
		l.addMistake(section, vm, "not a VM id", idAccepted)
	}
	if !validAddress(address) {
		l.addMistake(section, vm, "the value is "+quoted(address), addressAccepted)
		return
	}
	l.entry.Peers = append(l.entry.Peers, Peer{VM: vm, DataCentre: dataCentre, Address: address})
}

// checkPeers requires that ids and addresses are unique and that the entry of
// this VM agrees with the rest of the file. A VM that counted itself as a peer
// would accept its own promises not to claim.
func (l *loader) checkPeers() {
	byVM, byAddress := make(map[string]Peer), make(map[string]Peer)
	for _, p := range l.entry.Peers {
		section := peersPrefix + p.DataCentre
		if other, ok := byVM[p.VM]; ok {
			l.addMistake(section, p.VM, "also in data centre "+other.DataCentre, "each VM once")
		}
		if other, ok := byAddress[p.Address]; ok {
			l.addMistake(section, p.VM, "has the address of "+other.VM, "each address once")
		}
		byVM[p.VM], byAddress[p.Address] = p, p
		if p.VM == l.entry.VM && p.DataCentre != l.entry.DataCentre {
			l.addMistake(section, p.VM, "this VM is in data centre "+l.entry.DataCentre, "the data centre of [vm] data_centre")
		}
		if p.VM != l.entry.VM && p.Address == l.entry.ListenPeers {
			l.addMistake(section, p.VM, "has the address of this VM", "an address other than [listen] peers")
		}
	}
}
