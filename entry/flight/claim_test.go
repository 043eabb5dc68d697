package flight

import (
	"testing"

	"acaciacleat.example/core/idempotency"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a write that the store rejected as malformed, sent eight times and then answered as outcome unknown.
func TestStoreFailure(t *testing.T) {
	for err, want := range map[error]idempotency.StoreFailure{
		table.ErrConflict:       idempotency.StoreConflict,
		table.ErrUnavailable:    idempotency.StoreUnavailable,
		table.ErrInvalid:        idempotency.StoreUnavailable,
		table.ErrUnknownOutcome: idempotency.StoreOutcomeUnknown,
		errors.New("other"):     idempotency.StoreOutcomeUnknown,
	} {
		require.Equal(t, want, storeFailure(errors.WithMessage(err, "commit")), err)
	}
}
