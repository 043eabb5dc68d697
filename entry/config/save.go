package config

import (
	"context"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/documents"
)

// saveTimeout bounds the save of a state: a write of 10 MB and possibly a read of the table's rows.
const saveTimeout = time.Minute

// saveIfDue saves the state in the object store if this entry wrote a revision that is a multiple
// of documents.SaveEvery.
//
// Without a saved state every start would read every row of the documents: a restart of many
// entries would use up the table's reads for seconds, and while the table is unavailable an
// entry without peers would find no state at all.
func (m *Manager) saveIfDue(ctx context.Context, revision document.Revision) {
	if revision%documents.SaveEvery != 0 {
		return
	}
	// The operator's answer does not wait for the save, and the end of the request does not cancel
	// it.
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
