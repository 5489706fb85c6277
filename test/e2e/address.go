package e2e

import (
	"fmt"

	"tansyseam/test/reserve"
)

// loopbackIP returns the loopback IP of a process. No two processes of a fleet share one.
func loopbackIP(group, number int) string { return fmt.Sprintf("127.1.%d.%d", group, number+1) }

// allocateAddress returns an address of an IP with a port that was not returned before.
// The address stays reserved until the runner ends, because several fleets may run at
// the same time and their processes restart on the same addresses.
func allocateAddress(ip string) (string, error) {
	reservation, err := reserve.Any(ip)
	if err != nil {
		return "", err
	}
	return reservation.Address(), nil
}
