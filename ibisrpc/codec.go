package ibisrpc

import (
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
)

// codecName is the gRPC content subtype of all calls between daemons.
const codecName = "cbor"

func init() { encoding.RegisterCodec(codec{}) }

// codec encodes messages as CBOR, with the field names of their JSON tags.
type codec struct{}

func (codec) Marshal(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, Error.Wrap(err)
}

func (codec) Unmarshal(b []byte, v any) error { return Error.Wrap(cbor.Unmarshal(b, v)) }

func (codec) Name() string { return codecName }
