package frame

import (
	"reflect"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

func exampleCall() *Call {
	return &Call{
		Cluster:     "noodle",
		Host:        "e1",
		Incarnation: "a9",
		Stamp:       yuccahinge.Timestamp{Wall: 7, Count: 1},
		Method:      "echo",
		DeadlineMs:  12.5,
		Body:        []byte{0x61, 'x'},
	}
}

func TestCallRoundTrip(t *testing.T) {
	data, err := Encoding{}.Marshal(exampleCall())
	if err != nil {
		t.Fatal(err)
	}
	var got Call
	if err := (Encoding{}).Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(&got, exampleCall()) {
		t.Fatalf("got %+v", got)
	}
}

// FuzzCall checks that decoding never panics and that every decoded call can be encoded and decoded again.
func FuzzCall(f *testing.F) {
	data, err := Encoding{}.Marshal(exampleCall())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0x9f, 0x9f, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		var call Call
		if (Encoding{}).Unmarshal(data, &call) != nil {
			return
		}
		again, err := Encoding{}.Marshal(&call)
		if err != nil {
			t.Fatalf("%+v does not encode: %v", call, err)
		}
		var second Call
		if err := (Encoding{}).Unmarshal(again, &second); err != nil {
			t.Fatalf("%+v does not decode again: %v", call, err)
		}
	})
}

// FuzzReply checks that no reply makes the caller panic and that every WireError becomes an error with a text.
func FuzzReply(f *testing.F) {
	data, err := Encoding{}.Marshal(&Reply{Host: "e1", Error: &WireError{Code: yuccahinge.CodeInternal, Message: "x"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var reply Reply
		if (Encoding{}).Unmarshal(data, &reply) != nil || reply.Error == nil {
			return
		}
		if reply.Error.Err("e1").Error() == "" {
			t.Fatal("the error of a WireError has no text")
		}
	})
}
