package ports

import (
	"math"
	"net"
	"strconv"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// Every socket that listens is opened here, so that none is made without a bound on what arrives at it: internal/front serves the connections of
// TCP, and internal/relay and internal/peers bound what they keep of datagrams.

// Listen opens a socket for connections by TCP at the address.
func Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// ListenDatagrams opens a UDP socket at the address. What the kernel holds of unread datagrams is bounded by the system.
func ListenDatagrams(address string) (*net.UDPConn, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", resolved)
}

// BadDescriptors reports a setting that is no number of descriptors.
var BadDescriptors = errorx.NewNamespace("ports").NewType("bad_descriptors")

// Descriptors is how many file descriptors the process may use, 0 for as many as the system lets it.
type Descriptors int64

const (
	// minDescriptors is the minimum of the setting.
	minDescriptors = 128
	// ownDescriptors are left for files, for the sockets that listen and for the platform.
	ownDescriptors = 64
	// connectionShare is the share of the rest that the connections to this process may use. What remains is for those to upstreams and other
	// instances.
	connectionShare = 0.5
)

// UnmarshalFlag sets the number. An empty text, as of a platform that states none, means 0. It implements flags.Unmarshaler.
func (ds *Descriptors) UnmarshalFlag(text string) error {
	if text == "" {
		*ds = 0
		return nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number != 0 && number < minDescriptors {
		return BadDescriptors.New("ports: %q is no number of file descriptors; give %d or more, or 0 for the system's limit", text, minDescriptors)
	}
	*ds = Descriptors(number)
	return nil
}

// Connections returns how many connections to this process there may be at the same time.
func (ds Descriptors) Connections() int {
	number := int64(ds)
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur <= math.MaxInt32 && (number == 0 || int64(limit.Cur) < number) {
		number = int64(limit.Cur)
	}
	if number == 0 {
		number = math.MaxInt32
	}
	return int(connectionShare * float64(max(number, minDescriptors)-ownDescriptors))
}
