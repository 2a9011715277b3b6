package mesher

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"dotterelpost.example/dotterelpost/internal/messenger"
)

func sampleFrames() []*messenger.Frame {
	return []*messenger.Frame{
		{Kind: &messenger.Frame_Hello{Hello: &messenger.Hello{Instance: "north-1", Token: "token"}}},
		{Kind: &messenger.Frame_Heartbeat{Heartbeat: &messenger.Heartbeat{Ticket: 7, Holdings: []*messenger.Holding{{Partition: "north-1", Epoch: 3}}}}},
		{Kind: &messenger.Frame_Call{Call: &messenger.Call{Id: 9, Key: "crew/quote", Job: []byte(`{"class":"quick"}`)}}},
		{Kind: &messenger.Frame_Reply{Reply: &messenger.Reply{Id: 9, Answer: []byte(`{}`)}}},
	}
}

func TestFramesComeBackAsTheyWere(t *testing.T) {
	for _, frame := range sampleFrames() {
		data, err := encodeFrame(frame)
		if err != nil {
			t.Fatal(err)
		}
		back, err := decodeFrame(data)
		if err != nil || !proto.Equal(frame, back) {
			t.Errorf("%v came back as %v (%v)", frame, back, err)
		}
	}
}

func TestBadFramesAreRefused(t *testing.T) {
	for name, data := range map[string][]byte{
		"too long":     {0xff, 0xff, 0xff, 0xff},
		"cut short":    {0, 0, 0, 9, 1},
		"no kind":      {0, 0, 0, 0},
		"no protobuf":  {0, 0, 0, 2, 0xff, 0xff},
		"unknown kind": {0, 0, 0, 3, 0x7a, 1, 0},
	} {
		if frame, err := decodeFrame(data); err == nil {
			t.Errorf("%s: taken as %v", name, frame)
		}
	}
	huge := &messenger.Frame{Kind: &messenger.Frame_Call{Call: &messenger.Call{Job: bytes.Repeat([]byte{1}, MaxFrameBytes)}}}
	if _, err := encodeFrame(huge); err == nil {
		t.Error("a frame over the limit was encoded")
	}
}

// FuzzDecodeFrame: no bytes make the decoder panic or ask for more than its limit, and what it
// takes can be sent again.
func FuzzDecodeFrame(f *testing.F) {
	for _, frame := range sampleFrames() {
		data, err := encodeFrame(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if length, err := frameLength(data); err == nil && length > lengthPrefixBytes+MaxFrameBytes {
			t.Fatalf("a frame of %d bytes would be waited for", length)
		}
		frame, err := decodeFrame(data)
		if err != nil {
			return
		}
		if _, err := encodeFrame(frame); err != nil {
			t.Fatalf("decoded and not encoded again: %v", err)
		}
	})
}
