package ibistable

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"ibiscrank/ibishttp"
)

// Objects is what the project requires of the object store. An object is written whole or not at all,
// and a later Put replaces it.
type Objects interface {
	Put(ctx context.Context, key string, r io.Reader) error
	// Get returns the object, which the caller closes, or fails with NotFound. The context bounds the
	// reading too.
	Get(ctx context.Context, key string) (io.ReadCloser, error)
	// Delete removes the object; one that is not there is no error.
	Delete(ctx context.Context, key string) error
}

// ObjectClient is the object store at the address of a Client.
type ObjectClient struct{ c *Client }

var _ Objects = ObjectClient{}

// Objects is the object store that is served at the same address.
func (c *Client) Objects() ObjectClient { return ObjectClient{c} }

// Put writes an object. It fails with Unavailable or Unknown.
func (o ObjectClient) Put(ctx context.Context, key string, r io.Reader) error {
	resp, sent, err := o.do(ctx, http.MethodPut, key, r)
	return o.finish(resp, sent, err)
}

// Delete removes an object. It fails with Unavailable or Unknown.
func (o ObjectClient) Delete(ctx context.Context, key string) error {
	resp, sent, err := o.do(ctx, http.MethodDelete, key, nil)
	return o.finish(resp, sent, err)
}

// Get reads an object. It fails with NotFound or Unavailable.
func (o ObjectClient) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	resp, _, err := o.do(ctx, http.MethodGet, key, nil)
	if err != nil {
		return nil, Unavailable.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, readError(resp.StatusCode, errorBody(resp.Body))
	}
	return resp.Body, nil
}

func (o ObjectClient) do(ctx context.Context, method, key string, body io.Reader) (*http.Response, bool, error) {
	u := o.c.base + PathObject + "?" + url.Values{"key": {key}}.Encode()
	req, err := http.NewRequestWithContext(ctx, method, u, body)
	if err != nil {
		return nil, false, err
	}
	return ibishttp.Do(o.c.http, req)
}

func (o ObjectClient) finish(resp *http.Response, sent bool, err error) error {
	switch {
	case err != nil && !sent:
		return Unavailable.Wrap(err)
	case err != nil:
		return Unknown.Wrap(err)
	}
	defer resp.Body.Close()
	body := errorBody(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return writeError(resp.StatusCode, body)
	}
	return nil
}

// errorBody reads the start of a body for its message.
func errorBody(r io.Reader) []byte {
	const maxBytes = 4096
	b, _ := io.ReadAll(io.LimitReader(r, maxBytes))
	return b
}
