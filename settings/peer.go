package settings

// Peer is an entry VM of any data centre.
type Peer struct {
	VM         string
	DataCentre string
	// Address is the IP address and port on which the VM listens for peers.
	Address string
}
