package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	peer "acaciacleat.example/peers/engine"
	"acaciacleat.example/standin/engine/httpfaults"
)

// transfer is the format in which KV cache is transferred between engines: the blocks of a prefix,
// beginning with the first. Padding has the size of the tensors.
type transfer struct {
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Blocks  []uint64 `json:"blocks"`
	Padding []byte   `json:"padding,omitempty"`
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	block, err := strconv.ParseUint(r.URL.Query().Get("block"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, peer.TypeInvalid, "block is not a number")
		return
	}
	t, ok := e.transferOf(block)
	if !ok {
		refuse(w, http.StatusNotFound, peer.TypeInvalid, "the prefix is not cached whole")
		return
	}
	if e.transferDelay(r, t) != nil {
		return
	}
	writeJSON(w, t)
}

func (e *Engine) transferOf(block uint64) (transfer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entries, ok := e.cache.chain(block)
	if !ok {
		return transfer{}, false
	}
	t := transfer{Model: e.model, Version: e.version}
	for _, entry := range entries {
		t.Blocks = append(t.Blocks, entry.block)
	}
	t.Padding = make([]byte, len(t.Blocks)*e.config.KVBytesPerBlock)
	return t, true
}

func (e *Engine) transferDelay(r *http.Request, t transfer) error {
	size := int64(len(t.Blocks) * e.config.KVBytesPerBlock)
	return httpfaults.Sleep(r.Context(), transferTime(size, e.config.KVRate))
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, peer.TypeInvalid, err.Error())
		return
	}
	var t transfer
	if err := json.Unmarshal(data, &t); err != nil {
		refuse(w, http.StatusBadRequest, peer.TypeInvalid, err.Error())
		return
	}
	if e.transferDelay(r, t) != nil {
		return
	}
	if !e.importBlocks(t) {
		refuse(w, http.StatusUnprocessableEntity, peer.TypeInvalid, "the blocks belong to another model or version")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// importBlocks caches the blocks of another engine, from the start of the prefix and as many as the
// cache has room for.
func (e *Engine) importBlocks(t transfer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.Model != e.model || t.Version != e.version {
		return false
	}
	fit := int(e.cacheLimit() / peer.BlockTokens)
	blocks := t.Blocks[:min(len(t.Blocks), fit)]
	for i := range blocks {
		e.cache.add(blocks, i)
	}
	e.cache.use(blocks)
	e.recordState()
	return true
}
