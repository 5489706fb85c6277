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
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/protocol/bindings"
	"tansyseam/internal/state/store"
)

func pack(raw []byte) []byte {
	if len(raw) == 0 {
		return nil
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = writer.Write(raw)
	_ = writer.Close()
	return packed.Bytes()
}

func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Trace(err)
	}
	raw, err := io.ReadAll(reader)
	return raw, errors.Trace(err)
}

func (c *Control) replaceManifest(value *fastjson.Value, _ string, _ []byte, answer func(any)) {
	set, raw, faults := bindings.Versioned(value)
	if len(faults) > 0 {
		c.node.Counts.Add("manifests_refused", 1)
		answer(operated(http.StatusBadRequest, node.Refuse("the manifest is broken; nothing of it was taken", faults...)))
		return
	}
	sent := distribution.Manifest{Version: set.Version, Set: set, Packed: pack(raw), Digest: distribution.DigestOf(set, raw), Source: "manifest"}
	isNew, isConflict := false, false
	c.submit(func(held *store.Table) []store.Put {
		c.mutex.Lock()
		wall := c.wallNow()
		c.mutex.Unlock()
		var puts []store.Put
		puts, isConflict = distribution.PutManifest(held, sent, wall)
		isNew = len(puts) > 0
		return puts
	}, func(done consensus.Answer) {
		if !done.IsKept {
			refusal := node.Refuse("the control primary changed under the call")
			refusal.Outcome, refusal.Retry = "unknown", 500
			answer(operated(http.StatusServiceUnavailable, refusal))
			return
		}
		if isConflict {
			c.node.Counts.Add("manifests_conflicting", 1)
			answer(operated(http.StatusConflict, node.Refuse(fmt.Sprintf("another manifest was taken as version %d; send this one under a version of its own", set.Version))))
			return
		}
		if isNew {
			c.node.Counts.Add("manifests_taken", 1)
			c.log.Info("manifest taken", "version", set.Version, "bindings", len(set.Bindings), "databases", len(set.Databases))
		}
		answer(operated(http.StatusOK, map[string]any{"version": set.Version}))
	})
}

func (c *Control) fetchManifest(_ *fastjson.Value, _ string, _ []byte, answer func(any)) {
	c.mutex.Lock()
	held := c.steer.Table()
	c.mutex.Unlock()
	set, packed, isHeld := distribution.Raw(held)
	if !isHeld {
		answer(operated(http.StatusNotFound, node.Refuse("no manifest was taken")))
		return
	}
	if len(packed) == 0 {
		answer(operated(http.StatusOK, bindings.Write(set)))
		return
	}
	raw, err := unpack(packed)
	if err != nil {
		answer(operated(http.StatusInternalServerError, node.Refuse("the manifest's bytes cannot be read")))
		return
	}
	answer(operated(http.StatusOK, map[string]any{"version": set.Version, "raw": base64.StdEncoding.EncodeToString(raw)}))
}
