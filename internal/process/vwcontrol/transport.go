package vwcontrol

import "vanillawind.example/vanillawind/internal/process/vwraft"

// Transport carries packets between control members. Packets may be lost, delayed, duplicated and reordered.
type Transport interface {
	// Send queues data for the member at to.Address. It must not block.
	Send(to vwraft.Voter, data []byte)
	// Receive sets the function that is called with each packet from other members. handle does not block.
	Receive(handle func(data []byte))
}
