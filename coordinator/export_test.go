package coordinator

import (
	"github.com/cactusreel/cactusreel/admission"
	"github.com/cactusreel/cactusreel/coordinator/coordpb"
)

// SetPeer makes the node call another node in memory.
func (n *Node) SetPeer(address string, peer coordpb.Coordinator) {
	n.peers.clients.Store(address, peer)
}

// Process returns the number that tells the node's process from others on its VM.
func (n *Node) Process() int64 { return n.process }

// SetFormat sets the newest format that the node reads, before it runs.
func (n *Node) SetFormat(format int32) { n.reader.Format = format }

// PublishOutlook sets the outlook of the first cell, which this node owns.
func (n *Node) PublishOutlook(o *admission.Outlook) {
	c := n.cells[0]
	c.outlooks.publish(o, c.newestEpoch.Load(), n.monotonicNow())
}

// Reject sets whether the node rejects submissions.
func (n *Node) Reject(reject bool) { n.config.RejectsUnstartable = reject }
