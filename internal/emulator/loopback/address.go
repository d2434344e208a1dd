package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The roles of addresses in a deployment: each is a host number in the subnet of its world.
const (
	gatewayHost   = 1
	discoveryHost = 2
	endpointHost  = 3
)

const (
	minSecondOctet   = 16 // 127.0.0.0/12 is left to others
	secondOctetCount = 224
	octetValues      = 256
)

var subnetsAllocated atomic.Uint32

// subnet is a part 127.a.b.0/24 of the loopback network. Worlds that run at the same time have different ones as a
// rule, and ports that the kernel picks do not clash with those of outgoing connections, which come from 127.0.0.1.
type subnet struct{ secondOctet, thirdOctet int }

func newSubnet() subnet {
	index := os.Getpid() + int(subnetsAllocated.Add(1))*octetValues*octetValues/secondOctetCount
	return subnet{secondOctet: minSecondOctet + index/octetValues%secondOctetCount, thirdOctet: index % octetValues}
}

func (s subnet) host(hostNumber int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.secondOctet, s.thirdOctet, hostNumber)
}

// listen opens a listener at a host of the subnet, on a port that the kernel picks.
func (s subnet) listen(hostNumber int) (net.Listener, error) {
	return net.Listen("tcp4", net.JoinHostPort(s.host(hostNumber), "0"))
}

// reserve returns addresses on which nobody listens. All of them are picked before one is free again.
func (s subnet) reserve(hostNumber, count int) (addresses []string, err error) {
	for range count {
		listener, err := s.listen(hostNumber)
		if err != nil {
			return nil, fmt.Errorf("reserve an address: %w", err)
		}
		defer func() { _ = listener.Close() }() // nothing has connected to it
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
