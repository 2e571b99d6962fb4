package fleet

import (
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTestProcessesUseDifferentPorts(t *testing.T) {
	// Several soaks run beside each other. If two of them chose addresses from overlapping ranges, one could take the address of
	// the other's instance while that is down, which then cannot start again and fails the run. A process that has taken a block
	// of ports must keep others from taking it, and must not return an address twice.
	seen := map[string]bool{}
	for range 2 * portBlock {
		address, err := FreeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], address)
		seen[address] = true
	}
	assert.Assert(t, len(addresses.held) > 1)
	for _, held := range addresses.held {
		_, err := net.Listen("tcp", held.Addr().String())
		assert.Assert(t, err != nil, fmt.Sprint(held.Addr()))
	}
}
