package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"acaciacleat.example/core/document"
	"github.com/pkg/errors"
)

// clientTimeout limits one call. The server may take 10 s for a put.
const clientTimeout = 30 * time.Second

// Client calls the operators' interface of one entry. It is safe for concurrent use.
type Client struct {
	base       string
	httpClient *http.Client
}

// NewClient returns a client of the entry at base, such as "http://127.0.0.1:8081".
// caFile is a file of CA certificates to trust in addition to the system's; it may be empty.
func NewClient(base, caFile string) (*Client, error) {
	transport := &http.Transport{}
	if caFile != "" {
		roots, err := certPoolWith(caFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	client := &http.Client{Transport: transport, Timeout: clientTimeout}
	return &Client{base: strings.TrimRight(base, "/"), httpClient: client}, nil
}

func certPoolWith(caFile string) (*x509.CertPool, error) {
	roots, err := x509.SystemCertPool()
	if err != nil {
		roots = x509.NewCertPool()
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificates")
	}
	if !roots.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("no certificate in %s", caFile)
	}
	return roots, nil
}

// List returns all documents, ordered by service.
func (c *Client) List(ctx context.Context) ([]Summary, error) {
	var list []Summary
	_, err := c.get(ctx, PathDocuments, &list)
	return list, err
}

// Get returns a service's document and its ETag, or nil and no error if there is none.
func (c *Client) Get(ctx context.Context, service string) (*document.Service, string, error) {
	found := &document.Service{}
	tag, err := c.get(ctx, documentPath(service), found)
	var problem *Problem
	if errors.As(err, &problem) && problem.Status == http.StatusNotFound {
		return nil, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	return found, tag, nil
}

// Put replaces the document that has the given ETag. With an empty tag it creates the
// document and fails if there is one already.
func (c *Client) Put(ctx context.Context, service *document.Service, tag string) (*PutAnswer, error) {
	text, err := json.Marshal(service)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	request, err := c.request(ctx, http.MethodPut, documentPath(service.Name), bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if tag == "" {
		request.Header.Set(HeaderIfNoneMatch, AnyTag)
	} else {
		request.Header.Set(HeaderIfMatch, tag)
	}
	answer := &PutAnswer{}
	_, err = c.do(request, answer)
	return answer, err
}

// Status returns the rollout status of a service's document.
func (c *Client) Status(ctx context.Context, service string) (*Status, error) {
	status := &Status{}
	_, err := c.get(ctx, documentPath(service)+SuffixStatus, status)
	return status, err
}

// History returns the latest changes of a service's document, newest first.
func (c *Client) History(ctx context.Context, service string, limit int) ([]Change, error) {
	var changes []Change
	path := documentPath(service) + SuffixHistory + "?" + ParamLimit + "=" + strconv.Itoa(limit)
	_, err := c.get(ctx, path, &changes)
	return changes, err
}

// Explain returns the decisions about a request as JSON.
func (c *Client) Explain(ctx context.Context, requestID string) (json.RawMessage, error) {
	var explanation json.RawMessage
	_, err := c.get(ctx, PathRequests+"/"+url.PathEscape(requestID), &explanation)
	return explanation, err
}

// ExplainService returns, as JSON, the holder of a service's placement, the placement's
// actions and the reasons for them.
func (c *Client) ExplainService(ctx context.Context, service string) (json.RawMessage, error) {
	var explanation json.RawMessage
	_, err := c.get(ctx, PathServices+"/"+url.PathEscape(service)+"/placement", &explanation)
	return explanation, err
}

func documentPath(service string) string { return PathDocuments + "/" + url.PathEscape(service) }

func (c *Client) get(ctx context.Context, path string, out any) (tag string, err error) {
	request, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return "", err
	}
	return c.do(request, out)
}

func (c *Client) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	return request, errors.Wrap(err, "build request")
}

// do sends a request and decodes a 2xx answer into out. Any other answer becomes an error,
// a *Problem if its body holds one.
func (c *Client) do(request *http.Request, out any) (tag string, err error) {
	answer, err := c.httpClient.Do(request)
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, MaxDocumentBytes+1))
	if err != nil {
		return "", errors.Wrap(err, "read answer")
	}
	if len(data) > MaxDocumentBytes {
		return "", errors.Errorf("%s %s: the answer has more than %d bytes", request.Method, request.URL, MaxDocumentBytes)
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		problem := &Problem{}
		if json.Unmarshal(data, problem) == nil && problem.Status != 0 {
			return "", problem
		}
		return "", errors.Errorf("%s %s: %s", request.Method, request.URL, answer.Status)
	}
	return answer.Header.Get(HeaderETag), errors.Wrap(json.Unmarshal(data, out), "decode answer")
}
