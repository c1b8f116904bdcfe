package frame

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Bounds of what a decoder accepts.
const (
	maxNesting  = 32
	maxElements = 1 << 20
)

var decoder = mustDecoder()

// Encoding is the drpc encoding of envelopes and bodies. The zero value is ready to use.
type Encoding struct{}

var _ drpc.Encoding = Encoding{}

// Marshal returns the CBOR form of msg, or ErrTooLarge.
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

// Unmarshal fills msg from its CBOR form.
func (Encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	if len(buf) > MaxMessageBytes {
		return ErrTooLarge
	}
	return decoder.Unmarshal(buf, msg)
}

func mustDecoder() cbor.DecMode {
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
