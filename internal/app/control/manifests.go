package control

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"
	"github.com/valyala/fastjson"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/protocol/bindings"
	"tansyseam/internal/state/store"
)

func compress(raw []byte) []byte {
	if len(raw) == 0 {
		return nil
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = writer.Write(raw)
	_ = writer.Close()
	return packed.Bytes()
}

func decompress(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Trace(err)
	}
	raw, err := io.ReadAll(reader)
	return raw, errors.Trace(err)
}

func (s *Server) replaceManifest(value *fastjson.Value, _ string, _ []byte, answer func(any)) {
	set, raw, violations := bindings.ParseManifest(value)
	if len(violations) > 0 {
		s.node.Counters.Add("manifests_refused", 1)
		answer(operateReply(http.StatusBadRequest, node.NewErrorResponse("the manifest is broken; nothing of it was taken", violations...)))
		return
	}
	sent := rollout.Manifest{Version: set.Version, Set: set, Compressed: compress(raw), Digest: rollout.DigestOf(set, raw), Source: "manifest"}
	changed, conflicting := false, false
	s.submit(func(stateTable *store.Table) []store.Put {
		s.mutex.Lock()
		wallTime := s.wallNow()
		s.mutex.Unlock()
		var puts []store.Put
		puts, conflicting = rollout.AcceptManifest(stateTable, sent, wallTime)
		changed = len(puts) > 0
		return puts
	}, func(done consensus.SubmitResult) {
		if !done.Committed {
			refusal := node.NewErrorResponse("the control primary changed under the call")
			refusal.Outcome, refusal.RetryAfterMillis = "unknown", 500
			answer(operateReply(http.StatusServiceUnavailable, refusal))
			return
		}
		if conflicting {
			s.node.Counters.Add("manifests_conflicting", 1)
			answer(operateReply(http.StatusConflict, node.NewErrorResponse(fmt.Sprintf("another manifest was taken as version %d; send this one under a version of its own", set.Version))))
			return
		}
		if changed {
			s.node.Counters.Add("manifests_taken", 1)
			s.logger.Info("manifest taken", "version", set.Version, "bindings", len(set.Bindings), "databases", len(set.Databases))
		}
		answer(operateReply(http.StatusOK, manifestVersion{Version: set.Version}))
	})
}

func (s *Server) fetchManifest(_ *fastjson.Value, _ string, _ []byte, answer func(any)) {
	s.mutex.Lock()
	stateTable := s.distributor.State()
	s.mutex.Unlock()
	set, packed, found := rollout.NewestManifest(stateTable)
	if !found {
		answer(operateReply(http.StatusNotFound, node.NewErrorResponse("no manifest was taken")))
		return
	}
	if len(packed) == 0 {
		answer(operateReply(http.StatusOK, bindings.NewManifest(set)))
		return
	}
	raw, err := decompress(packed)
	if err != nil {
		answer(operateReply(http.StatusInternalServerError, node.NewErrorResponse("the manifest's bytes cannot be read")))
		return
	}
	answer(operateReply(http.StatusOK, rawManifest{Raw: base64.StdEncoding.EncodeToString(raw), Version: set.Version}))
}
