package httpproxy

import (
	"encoding/base64"
	"encoding/json"

	"tansyseam/internal/state/model"
)

// positionsByDatabase holds, for each database, the position that an instance must
// have reached to serve a client's reads, so that the client reads its own writes.
// Clients pass it from one session to the next as an opaque string, the mark.
type positionsByDatabase map[string]model.Position

func encodePositions(positions map[string]model.Position) string {
	data, _ := json.Marshal(positions)
	return base64.RawURLEncoding.EncodeToString(data)
}

func decodePositions(mark string) (positionsByDatabase, bool) {
	positions := positionsByDatabase{}
	if mark == "" {
		return positions, true
	}
	data, err := base64.RawURLEncoding.DecodeString(mark)
	if err != nil || json.Unmarshal(data, &positions) != nil || positions == nil {
		return nil, false
	}
	return positions, true
}
