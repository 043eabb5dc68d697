// Package engine is a stand-in for a model engine, for tests and the dev mode.
package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	peer "acaciacleat.example/peers/engine"
)

// Config is the stand-in's size and speed. Zero fields take the defaults.
type Config struct {
	Model string
	// EngineTokens is the KV cache in tokens.
	EngineTokens int64
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// DecodeStep is the time of one decode step.
	DecodeStep time.Duration
	// AnswerTokens is the longest natural answer.
	AnswerTokens int
}

func (c Config) withDefaults() Config {
	if c.Model == "" {
		c.Model = "assistant-1"
	}
	if c.EngineTokens == 0 {
		c.EngineTokens = 400_000
	}
	if c.PrefillRate == 0 {
		c.PrefillRate = 40_000
	}
	if c.DecodeStep == 0 {
		c.DecodeStep = 15 * time.Millisecond
	}
	if c.AnswerTokens == 0 {
		c.AnswerTokens = 1024
	}
	return c
}

// Engine is one stand-in engine. It is safe for concurrent use.
type Engine struct {
	config Config
	mux    *http.ServeMux
}

// New returns an engine.
func New(config Config) *Engine {
	e := &Engine{config: config.withDefaults(), mux: http.NewServeMux()}
	e.mux.HandleFunc("POST "+peer.PathCompletions, func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, false) })
	e.mux.HandleFunc("POST "+peer.PathChat, func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, true) })
	e.mux.HandleFunc("DELETE "+peer.PathRequests+"{id}", func(http.ResponseWriter, *http.Request) {})
	e.mux.HandleFunc("POST "+peer.PathReservations, func(http.ResponseWriter, *http.Request) {})
	e.mux.HandleFunc("GET "+peer.PathReport, e.report)
	e.mux.HandleFunc("GET "+peer.PathCacheEvents, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "[]") })
	e.mux.HandleFunc("GET "+peer.PathHealth, func(http.ResponseWriter, *http.Request) {})
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(peer.Report{Model: e.config.Model, CapacityTokens: e.config.EngineTokens})
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	prompt, err := peer.ParsePrompt(body, chat)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a := newAnswer(prompt.Model, prompt.Text)
	length, reason := a.length(e.config.AnswerTokens), "stop"
	if prompt.MaxTokens > 0 && prompt.MaxTokens < length {
		length, reason = prompt.MaxTokens, "length"
	}
	out := newSSE(w, r.Header.Get(peer.HeaderRequestID), prompt.Model, chat)
	out.begin("1")
	wait := time.Duration(float64(prompt.Tokens()) / e.config.PrefillRate * float64(time.Second))
	for i := prompt.Continue.Tokens; i < length; i++ {
		select {
		case <-time.After(wait + e.config.DecodeStep):
		case <-r.Context().Done():
			return
		}
		wait = 0
		if out.text(a.text(i, i+1), 1) != nil {
			return
		}
	}
	out.end(reason, peer.Usage{PromptTokens: prompt.Tokens(), CompletionTokens: length})
}
