package objects

import (
	"context"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"acaciacleat.example/peers/httpjson"
)

// ParamName is the query parameter with the object's name. The name is not in the path,
// because servers rewrite paths that contain "//" or "..".
const ParamName = "name"

// HTTP is an HTTP client of the object store. Bodies are the objects' bytes.
type HTTP struct {
	client *httpjson.Client
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client of the object store at baseURL.
func NewHTTP(baseURL string, options httpjson.Options) *HTTP {
	return &HTTP{client: httpjson.New(baseURL, options)}
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, name string) ([]byte, error) {
	return h.do(ctx, http.MethodGet, name, nil)
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, name string, data []byte) error {
	if data == nil {
		data = []byte{}
	}
	_, err := h.do(ctx, http.MethodPut, name, data)
	return err
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, name string) error {
	_, err := h.do(ctx, http.MethodDelete, name, nil)
	return err
}

func (h *HTTP) do(ctx context.Context, method, name string, data []byte) ([]byte, error) {
	query := url.Values{}
	query.Set(ParamName, name)
	body, err := h.client.Do(ctx, httpjson.Request{Method: method, Query: query, Raw: data})
	if err == nil {
		return body, nil
	}
	if httpjson.AsFailure(err).Code == httpjson.CodeNotFound {
		return nil, errors.WithMessage(ErrNotFound, err.Error())
	}
	return nil, errors.WithMessage(ErrUnavailable, err.Error())
}
