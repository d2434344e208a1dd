package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Host numbers of the gateways, discovery and the endpoints in the subnet of their world.
const (
	gatewayHost   = 1
	discoveryHost = 2
	endpointHost  = 3
)

const (
	minSecondOctet   = 16 // other programs use addresses of 127.0.0.0/12
	secondOctetCount = 224
	octetValues      = 256
)

// subnetsAllocated counts the subnets that this process has allocated.
var subnetsAllocated atomic.Uint32

// subnet is the network 127.a.b.0/24 of one world. Worlds that run concurrently usually have different subnets.
// Ports that the kernel assigns in a subnet do not clash with those of outgoing connections, which come from 127.0.0.1.
type subnet struct{ secondOctet, thirdOctet int }

func newSubnet() subnet {
	index := os.Getpid() + int(subnetsAllocated.Add(1))*octetValues*octetValues/secondOctetCount
	return subnet{secondOctet: minSecondOctet + index/octetValues%secondOctetCount, thirdOctet: index % octetValues}
}

func (s subnet) host(hostNumber int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.secondOctet, s.thirdOctet, hostNumber)
}

// listen opens a listener at a host of the subnet, on a port that the kernel assigns.
func (s subnet) listen(hostNumber int) (net.Listener, error) {
	return net.Listen("tcp4", net.JoinHostPort(s.host(hostNumber), "0"))
}

// reserve returns count distinct addresses at a host of the subnet on which no program listens. It closes its listeners
// only after it has all addresses, so that the kernel assigns no port twice.
func (s subnet) reserve(hostNumber, count int) (addresses []string, err error) {
	for range count {
		listener, err := s.listen(hostNumber)
		if err != nil {
			return nil, fmt.Errorf("reserve an address: %w", err)
		}
		defer func() { _ = listener.Close() }() // no client has connected, so an error loses nothing
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
