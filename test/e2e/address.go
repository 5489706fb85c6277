package e2e

import (
	"fmt"

	"tansyseam/test/reserve"
)

// loopbackIP returns an IP that only one process of a fleet has.
func loopbackIP(group, number int) string { return fmt.Sprintf("127.1.%d.%d", group, number+1) }

// allocateAddress returns an address of an IP that was not returned before. It stays
// reserved until the runner ends, as fleets run side by side and their processes
// start again on the same addresses.
func allocateAddress(ip string) (string, error) {
	reservation, err := reserve.Any(ip)
	if err != nil {
		return "", err
	}
	return reservation.Address(), nil
}
