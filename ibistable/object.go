package ibistable

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"ibiscrank/ibishttp"
)

// Objects is the object store. Errors of Put and Delete are of the classes Unavailable, Unknown and Error.
type Objects interface {
	// Put writes an object completely or not at all. It replaces an existing object.
	Put(ctx context.Context, key string, r io.Reader) error
	// Get returns a reader of the object, which the caller closes, or fails with NotFound or Unavailable.
	// Reading fails after ctx ends.
	Get(ctx context.Context, key string) (io.ReadCloser, error)
	// Delete removes an object. It succeeds if the object does not exist.
	Delete(ctx context.Context, key string) error
}

// ObjectClient is an HTTP client of the object store. Client.Objects returns one.
type ObjectClient struct{ c *Client }

var _ Objects = ObjectClient{}

// Objects returns a client of the object store at the same URL.
func (c *Client) Objects() ObjectClient { return ObjectClient{c} }

// Put writes an object. It fails with Unavailable, Unknown or, if the service rejects the request, Error.
func (o ObjectClient) Put(ctx context.Context, key string, r io.Reader) error {
	resp, sent, err := o.do(ctx, http.MethodPut, key, r)
	return o.writeResult(resp, sent, err)
}

// Delete removes an object. It fails with Unavailable, Unknown or, if the service rejects the request, Error.
func (o ObjectClient) Delete(ctx context.Context, key string) error {
	resp, sent, err := o.do(ctx, http.MethodDelete, key, nil)
	return o.writeResult(resp, sent, err)
}

// Get reads an object; the caller closes the reader. It fails with NotFound, Unavailable or, if the service
// rejects the request, Error.
func (o ObjectClient) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	resp, _, err := o.do(ctx, http.MethodGet, key, nil)
	if err != nil {
		return nil, Unavailable.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, readError(resp.StatusCode, readErrorBody(resp.Body))
	}
	return resp.Body, nil
}

// do sends a request for an object. The second result reports whether any byte of the request can have been sent.
func (o ObjectClient) do(ctx context.Context, method, key string, body io.Reader) (*http.Response, bool, error) {
	u := o.c.base + PathObject + "?" + url.Values{"key": {key}}.Encode()
	req, err := http.NewRequestWithContext(ctx, method, u, body)
	if err != nil {
		return nil, false, err
	}
	return ibishttp.Do(o.c.http, req)
}

// writeResult closes the body of the reply to a write and returns the error for its status, or for err.
func (o ObjectClient) writeResult(resp *http.Response, sent bool, err error) error {
	switch {
	case err != nil && !sent:
		return Unavailable.Wrap(err)
	case err != nil:
		return Unknown.Wrap(err)
	}
	defer resp.Body.Close()
	body := readErrorBody(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return writeError(resp.StatusCode, body)
	}
	return nil
}

// readErrorBody returns the first 4 KiB of a reply's body, which holds the error message if there is one.
func readErrorBody(r io.Reader) []byte {
	const maxBytes = 4096
	b, _ := io.ReadAll(io.LimitReader(r, maxBytes))
	return b
}
