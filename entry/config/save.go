package config

import (
	"context"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/documents"
)

// saveTimeout bounds the save of a state: 10 MB and, if need be, the table's rows.
const saveTimeout = time.Minute

// saveIfDue puts the state into the object store when this entry wrote a revision that
// documents.SaveEvery divides.
//
// What goes wrong without it: the object store stays empty, and every start reads every
// row of the documents. A restart of many entries then takes the table's reads for
// seconds, and with the table down an entry without peers finds no state at all.
func (m *Manager) saveIfDue(ctx context.Context, revision document.Revision) {
	if revision%documents.SaveEvery != 0 {
		return
	}
	// The operator's answer does not wait for it, and its end does not cut it short.
	go m.save(context.WithoutCancel(ctx), revision)
}

func (m *Manager) save(ctx context.Context, revision document.Revision) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	state := m.State()
	if state.Revision() < revision {
		newer, err := m.config.Store.Advance(ctx, state)
		if err != nil {
			m.log.Warn().Err(err).Msg("the state to save could not be read; starts read a longer part of the log")
			return
		}
		state = newer
	}
	if err := m.config.Store.Save(ctx, state); err != nil {
		m.log.Warn().Err(err).Msg("the state could not be saved; starts read a longer part of the log")
		return
	}
	m.log.Info().Uint64("revision", uint64(state.Revision())).Msg("the documents were saved in the object store")
}
