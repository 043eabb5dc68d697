package operator

import (
	"context"
	"testing"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against an operator who is told that a document may have been stored although it certainly was not.
func TestPutFailure(t *testing.T) {
	for name, c := range map[string]struct {
		err       error
		code      result.Code
		execution result.Execution
	}{
		"faults":         {&documents.InvalidError{Faults: []document.Fault{{}}}, result.DocumentInvalid, result.NotRun},
		"store away":     {table.ErrUnavailable, result.TableUnavailable, result.NotRun},
		"changes":        {documents.ErrBusy, result.TableUnavailable, result.NotRun},
		"reverted":       {documents.ErrReverted, result.TableUnavailable, result.NotRun},
		"answer lost":    {table.ErrUnknownOutcome, result.TableOutcome, result.Unknown},
		"state not read": {&documents.NotWrittenError{Cause: errors.New("row head")}, result.Internal, result.NotRun},
		"other":          {context.Canceled, result.Internal, result.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			failure := putFailure(errors.WithMessage(c.err, "put"))
			require.Equal(t, c.code, failure.Code)
			require.Equal(t, c.execution, failure.Execution)
		})
	}
}
