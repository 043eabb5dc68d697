package vmlist

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"acaciacleat.example/peers/httpjson"
)

// HTTP is an HTTP client of the list of VMs.
type HTTP struct {
	client *httpjson.Client
}

var _ Lister = (*HTTP)(nil)

// NewHTTP returns a client of the list at baseURL.
func NewHTTP(baseURL string, options httpjson.Options) *HTTP {
	return &HTTP{client: httpjson.New(baseURL, options)}
}

// List implements Lister.
func (h *HTTP) List(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := h.client.DoJSON(ctx, httpjson.Request{Method: http.MethodGet}, &vms)
	if err != nil {
		return nil, errors.WithMessage(ErrUnavailable, err.Error())
	}
	return vms, nil
}
