package gateway

import (
	"context"
	"testing"

	"acaciacleat.example/peers/service"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a call without a connection that counts as one that may have run, because its dial and its
// silence were ended at the same moment.
func TestStalledDialIsProvedNotSent(t *testing.T) {
	restarted, cancel := context.WithCancel(t.Context())
	cancel()
	for name, w := range map[string]*stallWatch{
		"silent":    {client: &client{ctx: t.Context()}},
		"restarted": {client: &client{ctx: restarted}},
	} {
		w.fired.Store(true)
		err := w.explain(errors.WithMessage(service.ErrNotSent, "dial"))
		require.ErrorIs(t, err, service.ErrNotSent, name)
		require.Contains(t, err.Error(), "the upstream has", name)
		require.NotErrorIs(t, w.explain(service.ErrOutcomeUnknown), service.ErrNotSent, name)
	}
}
