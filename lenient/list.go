// Package lenient decodes what instances of other builds send, so that one value that this build can't decode costs only that value.
package lenient

import "github.com/fxamacker/cbor/v2"

// List is a list from another instance. An element that can't be decoded becomes the zero value of its type, and a list that is none has one
// such element: their users take no zero value for a record, and count it.
type List[T any] []T

// UnmarshalCBOR implements cbor.Unmarshaler.
func (l *List[T]) UnmarshalCBOR(data []byte) error {
	var elements []cbor.RawMessage
	if cbor.Unmarshal(data, &elements) != nil {
		*l = make(List[T], 1)
		return nil
	}
	*l = nil
	for _, one := range elements {
		var value, zero T
		if cbor.Unmarshal(one, &value) != nil {
			value = zero
		}
		*l = append(*l, value)
	}
	return nil
}
