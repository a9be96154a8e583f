package vwcontrol

import (
	"math/rand/v2"
	"sync"
	"time"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// network is an in-memory network with injected faults. Its delays use the fake clock of synctest.
type network struct {
	mu       sync.Mutex
	random   *rand.Rand
	handlers map[string]func([]byte)
	delay    time.Duration
	loss     float64
	// ordered makes all delays equal, as on links, so that packets do not overtake each other.
	ordered bool
	// cut holds the pairs of sender and receiver between which every packet is lost.
	cut     map[[2]string]bool
	packets map[string]int
	bytes   map[string]int
}

func makeNetwork(seed uint64) *network {
	return &network{
		random: rand.New(rand.NewPCG(seed, 1)), delay: time.Millisecond, handlers: map[string]func([]byte){},
		cut: map[[2]string]bool{}, packets: map[string]int{}, bytes: map[string]int{},
	}
}

// endpoint is the Transport of one address.
type endpoint struct {
	network *network
	address string
}

// Receive implements Transport.
func (e endpoint) Receive(handle func([]byte)) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.network.handlers[e.address] = handle
}

// Send implements Transport. The delay varies, so that packets overtake each other.
func (e endpoint) Send(to vwraft.Voter, data []byte) {
	n := e.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packets[e.address]++
	n.bytes[e.address] += len(data)
	if n.cut[[2]string{e.address, to.Address}] || n.random.Float64() < n.loss {
		return
	}
	delay := n.delay
	if !n.ordered {
		delay = n.delay/2 + time.Duration(n.random.Int64N(int64(n.delay)))
	}
	time.AfterFunc(delay, func() { n.deliver(e.address, to.Address, data) })
}

func (n *network) deliver(from, to string, data []byte) {
	n.mu.Lock()
	handle := n.handlers[to]
	lost := n.cut[[2]string{from, to}]
	n.mu.Unlock()
	if handle != nil && !lost {
		handle(data)
	}
}

func (n *network) setLoss(loss float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
}

// setOrdered sets the same delay for every packet, so that packets stay in order.
func (n *network) setOrdered(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay, n.ordered = delay, true
}

// setCut sets whether all packets from one address to another are lost.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// heal ends all faults.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	n.loss = 0
}

// takeCounts returns and resets the number of packets and bytes that an address has sent.
func (n *network) takeCounts(address string) (packets, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	packets, bytes = n.packets[address], n.bytes[address]
	n.packets[address], n.bytes[address] = 0, 0
	return packets, bytes
}
