package e2e

import (
	"fmt"
	"net"
	"sync"
)

// loopbackIP returns an IP that only one process of a fleet has.
func loopbackIP(group, number int) string { return fmt.Sprintf("127.1.%d.%d", group, number+1) }

var allocatedAddresses sync.Map

// allocateAddress returns a free address of an IP that was not returned before.
func allocateAddress(ip string) (string, error) {
	for {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if _, used := allocatedAddresses.LoadOrStore(address, true); !used {
			return address, nil
		}
	}
}
