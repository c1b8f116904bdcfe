package frame

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Limits of the messages that the decoder accepts.
const (
	maxNesting  = 32
	maxElements = 1 << 20
)

var decoder = newDecoder()

// Encoding is the drpc encoding of envelopes and bodies. The zero value is ready to use.
type Encoding struct{}

var _ drpc.Encoding = Encoding{}

// Marshal encodes msg in CBOR. It returns ErrTooLarge for more than MaxMessageBytes.
func (Encoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxMessageBytes {
		return nil, ErrTooLarge
	}
	return data, nil
}

// Unmarshal decodes CBOR into msg. It returns ErrTooLarge for more than MaxMessageBytes.
func (Encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	if len(buf) > MaxMessageBytes {
		return ErrTooLarge
	}
	return decoder.Unmarshal(buf, msg)
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
