package config

import "acaciacleat.example/core/document"

// Follows reports whether this entry follows which live entries have the revision in
// force, as it does for the last ones that it wrote itself. Without that, Wait names no
// entry, which proves nothing: an operator must not be told that a document is in force
// everywhere because nobody was asked.
func (m *Manager) Follows(revision document.Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node != nil && m.node.InForce(revision) != nil
}
