package ibiswork

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// plain drops the methods of Request, so that decoding it does not recurse.
type plain Request

// UnmarshalJSON decodes and checks a request.
func (r *Request) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*plain)(r)); err != nil {
		return Error.Wrap(err)
	}
	return r.Check()
}

// UnmarshalCBOR decodes and checks a request.
func (r *Request) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*plain)(r)); err != nil {
		return Error.Wrap(err)
	}
	return r.Check()
}
