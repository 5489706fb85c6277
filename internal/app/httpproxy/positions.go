package httpproxy

import (
	"encoding/base64"
	"encoding/json"

	"tansyseam/internal/state/model"
)

// positionsByDatabase holds, for each database, the position that a client's
// reads must have reached so that it sees its own writes. Clients carry it from
// session to session as an opaque string, the mark.
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
