package directory

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"acaciacleat.example/core/dispatch"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a registration of another writer that fills the log, or that no line names.
func TestUnreadableRegistrationIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	logger := zerolog.New(&log)
	var u unreadable
	change := func(id string, readable bool) dispatch.Change {
		return dispatch.Change{Upstream: dispatch.Upstream{ID: id}, Unreadable: !readable}
	}
	faults := map[string]error{"odd": errors.New("Slots is 1e400")}
	apply := func(whole bool, changes ...dispatch.Change) {
		logUnreadable(&logger, u.apply(changes, whole), faults)
	}
	apply(true, change("good", true), change("odd", false))
	for range 5 {
		apply(false, change("odd", false))
	}
	apply(true, change("odd", false))
	require.Equal(t, 1, strings.Count(log.String(), `"key":"odd"`))
	require.Equal(t, 1, strings.Count(log.String(), "Slots is 1e400"))
	require.Equal(t, 1, u.count())
	apply(false, change("odd", true))
	require.Zero(t, u.count())
	apply(false, change("odd", false))
	require.Equal(t, 2, strings.Count(log.String(), `"key":"odd"`), "it was readable in between")

	log.Reset()
	var many []dispatch.Change
	for i := range 1000 {
		many = append(many, change(fmt.Sprint(strings.Repeat("k", 200), i), false))
	}
	apply(true, many...)
	require.Less(t, log.Len(), 4096)
	require.Contains(t, log.String(), `"entries":992`)
	require.Equal(t, 1000, u.count())
}
