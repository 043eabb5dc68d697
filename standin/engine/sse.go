package engine

import (
	"bytes"
	"encoding/json"
	"net/http"

	peer "acaciacleat.example/peers/engine"
)

// sse writes one streamed answer in the format of the OpenAI API.
type sse struct {
	w     http.ResponseWriter
	flush func()
	id    string
	model string
	chat  bool
	buf   bytes.Buffer
}

func newSSE(w http.ResponseWriter, id, model string, chat bool) *sse {
	controller := http.NewResponseController(w)
	return &sse{w: w, flush: func() { _ = controller.Flush() }, id: id, model: model, chat: chat}
}

func (s *sse) begin(runID string) {
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(peer.HeaderRun, runID)
	s.w.WriteHeader(http.StatusOK)
	s.flush()
}

func (s *sse) chunk(choices ...peer.Choice) peer.Chunk {
	object := "text_completion"
	if s.chat {
		object = "chat.completion.chunk"
	}
	return peer.Chunk{ID: s.id, Object: object, Model: s.model, Choices: choices}
}

func (s *sse) text(text string, tokens int) error {
	choice := peer.Choice{Text: text}
	if s.chat {
		choice = peer.Choice{Delta: &peer.ChatDelta{Content: text}}
	}
	chunk := s.chunk(choice)
	chunk.Tokens = &tokens
	return s.event(chunk)
}

func (s *sse) end(reason string, usage peer.Usage) error {
	choice := peer.Choice{FinishReason: &reason}
	if s.chat {
		choice.Delta = &peer.ChatDelta{}
	}
	if err := s.event(s.chunk(choice)); err != nil {
		return err
	}
	chunk := s.chunk()
	chunk.Choices = []peer.Choice{}
	chunk.Usage = &usage
	if err := s.event(chunk); err != nil {
		return err
	}
	return s.write([]byte(peer.DoneMarker))
}

func (s *sse) fail(o outcome) error {
	return s.event(peer.ErrorBody{Error: peer.ErrorDetail{Type: o.kind, Message: o.message}})
}

// comment sends a keep-alive, which shows that the connection works while there are no tokens.
func (s *sse) comment() error {
	_, err := s.w.Write([]byte(": keep-alive\n\n"))
	s.flush()
	return err
}

func (s *sse) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.write(data)
}

func (s *sse) write(data []byte) error {
	s.buf.Reset()
	s.buf.WriteString("data: ")
	s.buf.Write(data)
	s.buf.WriteString("\n\n")
	_, err := s.w.Write(s.buf.Bytes())
	s.flush()
	return err
}
