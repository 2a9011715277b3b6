package mesher

import (
	"encoding/binary"
	"fmt"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"dotterelpost.example/dotterelpost/internal/messenger"
)

// MaxFrameBytes is the maximum size of a frame without its length prefix.
const MaxFrameBytes = 4 << 20

// lengthPrefixBytes is the size of the length that precedes each frame.
const lengthPrefixBytes = 4

// FrameError reports a frame that cannot be encoded, cannot be decoded or violates the protocol.
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

// encodeFrame returns the encoded frame, preceded by its length.
func encodeFrame(frame *messenger.Frame) ([]byte, error) {
	size := proto.Size(frame)
	if size > MaxFrameBytes {
		return nil, &FrameError{Reason: fmt.Sprintf("size of %d bytes exceeds the limit of %d", size, MaxFrameBytes)}
	}
	out := make([]byte, lengthPrefixBytes, lengthPrefixBytes+size)
	binary.BigEndian.PutUint32(out, uint32(size))
	out, err := proto.MarshalOptions{}.MarshalAppend(out, frame)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	return out, nil
}

// frameLength returns the size of the first frame in data, including the length prefix, or 0 if data
// does not hold the whole prefix yet. A length over MaxFrameBytes is an error, so that a peer cannot
// make the reader buffer more than that.
func frameLength(data []byte) (int, error) {
	if len(data) < lengthPrefixBytes {
		return 0, nil
	}
	size := binary.BigEndian.Uint32(data)
	if size > MaxFrameBytes {
		return 0, &FrameError{Reason: fmt.Sprintf("length of %d bytes exceeds the limit of %d", size, MaxFrameBytes)}
	}
	return lengthPrefixBytes + int(size), nil
}

// decodeFrame decodes data, which must be exactly one frame with its length prefix.
func decodeFrame(data []byte) (*messenger.Frame, error) {
	length, err := frameLength(data)
	if err != nil {
		return nil, err
	}
	if length == 0 || length != len(data) {
		return nil, &FrameError{Reason: "truncated, or followed by other bytes"}
	}
	frame := &messenger.Frame{}
	if err := proto.Unmarshal(data[lengthPrefixBytes:], frame); err != nil {
		return nil, &FrameError{Reason: "invalid protobuf encoding", Err: err}
	}
	if frame.GetKind() == nil {
		return nil, &FrameError{Reason: "unknown kind"}
	}
	return frame, nil
}
