package e2e

import (
	"fmt"
	"net"
	"sync"
)

func loopbackIP(group, number int) string { return fmt.Sprintf("127.1.%d.%d", group, number+1) }

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

var allocatedAddresses sync.Map
