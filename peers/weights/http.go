package weights

import (
	"context"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"acaciacleat.example/peers/httpjson"
)

// Paths of the weight store relative to its base URL, and the names of their parameters.
const (
	PathArtifact = "/artifact"
	PathRate     = "/rate"

	ParamName    = "name"
	ParamVersion = "version"
)

// RateAnswer is the body of the answer to PathRate.
type RateAnswer struct {
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// HTTP is an HTTP client of the weight store.
type HTTP struct {
	client *httpjson.Client
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client of the weight store at baseURL.
func NewHTTP(baseURL string, options httpjson.Options) *HTTP {
	return &HTTP{client: httpjson.New(baseURL, options)}
}

// Describe implements Store.
func (h *HTTP) Describe(ctx context.Context, name, version string) (Artifact, error) {
	query := url.Values{}
	query.Set(ParamName, name)
	query.Set(ParamVersion, version)
	var artifact Artifact
	request := httpjson.Request{Method: http.MethodGet, Path: PathArtifact, Query: query}
	if err := h.client.DoJSON(ctx, request, &artifact); err != nil {
		return Artifact{}, storeError(err)
	}
	return artifact, nil
}

// RateBytesPerSecond implements Store.
func (h *HTTP) RateBytesPerSecond(ctx context.Context) (float64, error) {
	var answer RateAnswer
	err := h.client.DoJSON(ctx, httpjson.Request{Method: http.MethodGet, Path: PathRate}, &answer)
	if err != nil {
		return 0, storeError(err)
	}
	return answer.BytesPerSecond, nil
}

func storeError(err error) error {
	switch httpjson.AsFailure(err).Code {
	case httpjson.CodeNotFound:
		return errors.WithMessage(ErrNotFound, err.Error())
	case httpjson.CodeRateLimited:
		return errors.WithMessage(ErrRateLimited, err.Error())
	default:
		return errors.WithMessage(ErrUnavailable, err.Error())
	}
}
