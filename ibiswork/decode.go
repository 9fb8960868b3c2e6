package ibiswork

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// requestFields has the fields of Request but not its methods, so that decoding does not recurse.
type requestFields Request

// UnmarshalJSON decodes a request and returns an error if a field is invalid.
func (r *Request) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*requestFields)(r)); err != nil {
		return Error.Wrap(err)
	}
	return r.Check()
}

// UnmarshalCBOR decodes a request and returns an error if a field is invalid.
func (r *Request) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*requestFields)(r)); err != nil {
		return Error.Wrap(err)
	}
	return r.Check()
}
