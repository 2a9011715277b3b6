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

func TestFramesSurviveEncodingAndDecoding(t *testing.T) {
	for _, frame := range sampleFrames() {
		data, err := encodeFrame(frame)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decodeFrame(data)
		if err != nil || !proto.Equal(frame, decoded) {
			t.Errorf("frame %v was decoded as %v (error %v)", frame, decoded, err)
		}
	}
}

func TestInvalidFramesAreRejected(t *testing.T) {
	for name, data := range map[string][]byte{
		"too long":         {0xff, 0xff, 0xff, 0xff},
		"truncated":        {0, 0, 0, 9, 1},
		"no kind":          {0, 0, 0, 0},
		"invalid protobuf": {0, 0, 0, 2, 0xff, 0xff},
		"unknown kind":     {0, 0, 0, 3, 0x7a, 1, 0},
	} {
		if frame, err := decodeFrame(data); err == nil {
			t.Errorf("%s: decoded as %v, want an error", name, frame)
		}
	}
	oversized := &messenger.Frame{Kind: &messenger.Frame_Call{Call: &messenger.Call{Job: bytes.Repeat([]byte{1}, MaxFrameBytes)}}}
	if _, err := encodeFrame(oversized); err == nil {
		t.Error("a frame over the limit was encoded")
	}
}

// FuzzDecodeFrame checks that no input makes the decoder panic or request more bytes than the limit,
// and that every decoded frame can be encoded again.
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
			t.Fatalf("the decoder would wait for a frame of %d bytes", length)
		}
		frame, err := decodeFrame(data)
		if err != nil {
			return
		}
		if _, err := encodeFrame(frame); err != nil {
			t.Fatalf("decoded frame cannot be encoded again: %v", err)
		}
	})
}

func TestBatchesSurviveEncodingAndDecoding(t *testing.T) {
	var data []byte
	var sent []*messenger.Frame
	for range 50 {
		for _, frame := range sampleFrames() {
			encoded, err := encodeFrame(frame)
			if err != nil {
				t.Fatal(err)
			}
			data, sent = append(data, encoded...), append(sent, frame)
		}
	}
	encoded, err := encodeBatch(data)
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) > len(data)/4 {
		t.Errorf("%d bytes of frames became %d, want at most a quarter", len(data), len(encoded))
	}
	batch, err := decodeFrame(encoded)
	if err != nil {
		t.Fatal(err)
	}
	frames, err := decodeBatch(batch.GetBatch())
	if err != nil || len(frames) != len(sent) {
		t.Fatalf("%d frames were decoded, want %d; error %v", len(frames), len(sent), err)
	}
	for i := range sent {
		if !proto.Equal(frames[i], sent[i]) {
			t.Errorf("frame %d was decoded as %v", i, frames[i])
		}
	}
}

func TestInvalidBatchesAreRejected(t *testing.T) {
	call, err := encodeFrame(sampleFrames()[2])
	if err != nil {
		t.Fatal(err)
	}
	nested, err := encodeBatch(call)
	if err != nil {
		t.Fatal(err)
	}
	for name, frames := range map[string][]byte{
		"ends within a frame":  call[:len(call)-1],
		"ends within a prefix": append(bytes.Clone(call), 0, 0),
		"batch within a batch": nested,
		"frame over the limit": {0xff, 0xff, 0xff, 0xff},
		"too large":            make([]byte, maxDecompressedBytes+1),
	} {
		encoded, err := encodeBatch(frames)
		if err != nil {
			t.Fatal(err)
		}
		frame, err := decodeFrame(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if frames, err := decodeBatch(frame.GetBatch()); err == nil {
			t.Errorf("%s: decoded as %v", name, frames)
		}
	}
	if frames, err := decodeBatch(&messenger.Batch{Frames: []byte("no deflate")}); err == nil {
		t.Errorf("corrupt data was decoded as %v", frames)
	}
}

// FuzzDecodeBatch checks that no input makes the decoder panic or exceed the limit on the size of the
// frames in one batch.
func FuzzDecodeBatch(f *testing.F) {
	var data []byte
	for _, frame := range sampleFrames() {
		encoded, err := encodeFrame(frame)
		if err != nil {
			f.Fatal(err)
		}
		data = append(data, encoded...)
	}
	encoded, err := encodeBatch(data)
	if err != nil {
		f.Fatal(err)
	}
	batch, err := decodeFrame(encoded)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(batch.GetBatch().GetFrames())
	f.Fuzz(func(t *testing.T, compressed []byte) {
		frames, err := decodeBatch(&messenger.Batch{Frames: compressed})
		if err != nil {
			return
		}
		size := 0
		for _, frame := range frames {
			size += lengthPrefixBytes + proto.Size(frame)
		}
		if size > 2*maxDecompressedBytes {
			t.Errorf("%d bytes of frames were decoded", size)
		}
	})
}
