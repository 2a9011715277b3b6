package mesher

import (
	"encoding/binary"
	"fmt"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"dotterelpost.example/dotterelpost/internal/messenger"
)

// MaxFrameBytes bounds the body of a frame.
const MaxFrameBytes = 4 << 20

// lengthPrefixBytes is the size of the length in front of each frame.
const lengthPrefixBytes = 4

// FrameError tells that bytes from a peer are no frame.
type FrameError struct {
	Reason string
	Err    error
}

func (e *FrameError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("bad frame: %s: %v", e.Reason, e.Err)
	}
	return "bad frame: " + e.Reason
}

func (e *FrameError) Unwrap() error { return e.Err }

// encodeFrame returns the frame behind its length.
func encodeFrame(frame *messenger.Frame) ([]byte, error) {
	size := proto.Size(frame)
	if size > MaxFrameBytes {
		return nil, &FrameError{Reason: fmt.Sprintf("%d bytes are over the limit of %d", size, MaxFrameBytes)}
	}
	out := make([]byte, lengthPrefixBytes, lengthPrefixBytes+size)
	binary.BigEndian.PutUint32(out, uint32(size))
	out, err := proto.MarshalOptions{}.MarshalAppend(out, frame)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	return out, nil
}

// frameLength tells how many bytes the first frame in data has, its length included, or 0 if that
// can't be told yet. It never asks for more than the limit, whatever the bytes say.
func frameLength(data []byte) (int, error) {
	if len(data) < lengthPrefixBytes {
		return 0, nil
	}
	size := binary.BigEndian.Uint32(data)
	if size > MaxFrameBytes {
		return 0, &FrameError{Reason: fmt.Sprintf("a length of %d is over the limit of %d", size, MaxFrameBytes)}
	}
	return lengthPrefixBytes + int(size), nil
}

// decodeFrame reads a whole frame with its length.
func decodeFrame(data []byte) (*messenger.Frame, error) {
	length, err := frameLength(data)
	if err != nil {
		return nil, err
	}
	if length == 0 || length != len(data) {
		return nil, &FrameError{Reason: "cut short"}
	}
	frame := &messenger.Frame{}
	if err := proto.Unmarshal(data[lengthPrefixBytes:], frame); err != nil {
		return nil, &FrameError{Reason: "no protobuf", Err: err}
	}
	if frame.GetKind() == nil {
		return nil, &FrameError{Reason: "of an unknown kind"}
	}
	return frame, nil
}
