package httppool

import (
	"fmt"
	"testing"
	"time"

	"tansyseam/internal/state/model"
)

// BenchmarkWrite measures one write from Accept to its response, including the
// instance's reply and the replica's announcement.
func BenchmarkWrite(b *testing.B) {
	h := newHarness(8)
	session, _, _ := h.OpenSession("x", "client", nil, h.now)
	b.ReportAllocs()
	for number := uint64(1); b.Loop(); number++ {
		requestID := fmt.Sprintf("%s.%d", session.ID, number)
		request, _, _ := h.Accept(session.ID, write(requestID), time.Second, "token", h.now)
		h.Bind(request, h.now)
		h.applyEffects()
		position := model.Position{Term: 1, Index: number}
		h.reply(Reply{Clean: true, Position: position})
		h.replicate("x1", position)
	}
}
