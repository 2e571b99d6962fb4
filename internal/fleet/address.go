package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"

	"dandelionsail.example/dandelionsail/internal/ports"
)

// Tests listen on ports below those that the kernel assigns to outgoing connections. Otherwise such a connection could take
// an address before the instance listens on it, or while the instance is down. For the same reason each test process has
// blocks of ports of its own: another one could take the address of an instance that is down.
const (
	// firstPort is the first port that tests use.
	firstPort = 12_000
	// portBlock is the number of ports in a block. A process holds a block by listening on its first port.
	portBlock = 100
	// portBlocks is the number of blocks.
	portBlocks = 200
)

// addresses hands out the ports of the blocks that this process holds.
var addresses struct {
	mu sync.Mutex
	// held are the listeners that hold the blocks until the process ends.
	held []net.Listener
	// next is the next port of the last block, 0 before the first block.
	next int
	// end is the port after the last one of the block.
	end int
}

// FreeAddress returns an address on loopback that no other test process uses and that this one has not returned before.
func FreeAddress() (string, error) {
	addresses.mu.Lock()
	defer addresses.mu.Unlock()
	for {
		if addresses.next >= addresses.end && !holdPortBlock() {
			return "", errors.New("fleet: no free block of ports found; end other tests")
		}
		address := fmt.Sprintf("127.0.0.1:%d", addresses.next)
		addresses.next++
		if listener, err := ports.Listen(address); err == nil {
			_ = listener.Close()
			return address, nil
		}
	}
}

// holdPortBlock takes a block that no process holds, and reports whether there is one.
func holdPortBlock() bool {
	for i := range portBlocks {
		first := firstPort + (os.Getpid()+i)%portBlocks*portBlock
		listener, err := ports.Listen(fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue
		}
		addresses.held = append(addresses.held, listener)
		addresses.next, addresses.end = first+1, first+portBlock
		return true
	}
	return false
}
