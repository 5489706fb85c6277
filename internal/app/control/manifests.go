package control

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/protocol/bindings"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// manifestRetryMillis is the delay, in ms, after which an operator may resend a
// manifest if the control primary changed during the call. Resending is safe,
// because the version makes the call idempotent.
const manifestRetryMillis = 500

// manifestSource is the recorded source of a binding set that came from a manifest.
const manifestSource = "manifest"

func (s *Server) replaceManifest(call operatorCall) {
	set, raw, violations := bindings.ParseManifest(call.value)
	if len(violations) > 0 {
		s.node.Counters.Add("manifests_refused", 1)
		call.reply(rejected(http.StatusBadRequest, "the manifest is broken; nothing of it was taken", violations...))
		return
	}
	manifest := rollout.Manifest{
		Version: set.Version, Set: set, Compressed: compress(raw), Digest: rollout.DigestOf(set, raw), Source: manifestSource,
	}
	var accepted, conflict bool
	s.submit(func(state *store.Table) []store.Put {
		puts, err := rollout.AcceptManifest(state, manifest, s.wallTime())
		accepted, conflict = len(puts) > 0, errors.Is(err, rollout.ErrVersionConflict)
		return puts
	}, func(submitted consensus.SubmitResult) {
		if submitted.Committed && accepted {
			s.onManifestAccepted(set)
		}
		call.reply(s.manifestResult(set.Version, submitted.Committed, conflict))
	})
}

// manifestResult returns the result of a call that replaces the manifest. The call
// also succeeds if the manifest was accepted before, or if a newer manifest has
// superseded it.
func (s *Server) manifestResult(version uint64, committed, conflict bool) message.OperatorCallResult {
	if !committed {
		return unacknowledged(node.OutcomeUnknown, manifestRetryMillis)
	}
	if conflict {
		s.node.Counters.Add("manifests_conflicting", 1)
		return rejected(http.StatusConflict,
			fmt.Sprintf("another manifest was taken as version %d; send this one under a version of its own", version))
	}
	return newCallResult(http.StatusOK, manifestVersion{Version: version})
}

func (s *Server) onManifestAccepted(set model.BindingSet) {
	s.node.Counters.Add("manifests_taken", 1)
	s.logger.Info("manifest accepted", "version", set.Version, "bindings", len(set.Bindings), "databases", len(set.Databases))
}

func (s *Server) fetchManifest(call operatorCall) {
	s.mutex.Lock()
	state := s.distributor.State()
	s.mutex.Unlock()
	set, compressed, found := rollout.NewestManifest(state)
	if !found {
		call.reply(rejected(http.StatusNotFound, "no manifest was taken"))
		return
	}
	if len(compressed) == 0 {
		call.reply(newCallResult(http.StatusOK, bindings.NewManifest(set)))
		return
	}
	raw, err := decompress(compressed)
	if err != nil {
		call.reply(rejected(http.StatusInternalServerError, "the manifest's bytes cannot be read"))
		return
	}
	call.reply(newCallResult(http.StatusOK, rawManifest{Raw: base64.StdEncoding.EncodeToString(raw), Version: set.Version}))
}

// compress returns nil for an empty input. It ignores the errors of the writer,
// because a write to a buffer in memory cannot fail.
func compress(raw []byte) []byte {
	if len(raw) == 0 {
		return nil
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write(raw)
	_ = writer.Close()
	return compressed.Bytes()
}

func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Trace(err)
	}
	raw, err := io.ReadAll(reader)
	return raw, errors.Trace(err)
}
