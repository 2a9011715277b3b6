package mesher

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/panjf2000/gnet/v2"

	"dotterelpost.example/dotterelpost/internal/deflater"
	"dotterelpost.example/dotterelpost/internal/messenger"
)

const (
	// batchDelay is how long a frame waits for others to be sent with it, a thirtieth of the round trip
	// between regions. All connections are flushed together, because waking the event loop costs more
	// than a write.
	batchDelay = 2 * time.Millisecond
	// bulkDelay and bulkReplyDelay replace batchDelay for orders to workers and for their replies, of
	// which an owner has thousands a second: each wake-up then serves several. Nothing waits for the
	// reply to a start order, and that to a sync has waited for a run to end.
	bulkDelay      = 8 * time.Millisecond
	bulkReplyDelay = 20 * time.Millisecond
	// maxBatchBytes is the size at which frames are sent without waiting for others.
	maxBatchBytes = 32 << 10
	// minCompressedBytes is the size from which a batch is compressed. Smaller ones are heartbeats and
	// single replies, which hardly become smaller.
	minCompressedBytes = 400
)

// batcher sends the frames for one connection, several at a time.
type batcher struct {
	mesh   *Mesh
	conn   gnet.Conn
	region string
	// sentBytes counts the bytes sent.
	sentBytes *atomic.Int64

	mu      sync.Mutex
	pending []byte
}

// flusher flushes the batchers of all connections that have pending frames.
type flusher struct {
	mu sync.Mutex
	// batchers have pending frames.
	batchers []*batcher
	// flushAt is when the next timer flushes them. It is the zero time if there is no timer.
	flushAt time.Time
}

// schedule flushes a batcher, and all others that wait, after the delay at the latest.
func (f *flusher) schedule(b *batcher, clock clockwork.Clock, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.batchers = append(f.batchers, b)
	f.expediteLocked(clock, delay)
}

// expedite flushes the waiting batchers after the delay at the latest.
func (f *flusher) expedite(clock clockwork.Clock, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expediteLocked(clock, delay)
}

func (f *flusher) expediteLocked(clock clockwork.Clock, delay time.Duration) {
	at := clock.Now().Add(delay)
	if f.flushAt.IsZero() || at.Before(f.flushAt) {
		f.flushAt = at
		clock.AfterFunc(delay, f.flush)
	}
}

// flush flushes the waiting batchers. A timer that an earlier one has anticipated finds none, or some
// that wait for a later one and lose nothing by going at once.
func (f *flusher) flush() {
	f.mu.Lock()
	batchers := f.batchers
	f.batchers, f.flushAt = nil, time.Time{}
	f.mu.Unlock()
	for _, b := range batchers {
		b.flush()
	}
}

// callDelay returns how long a call of a kind may wait for others.
func callDelay(kind messenger.CallKind) time.Duration {
	if kind == messenger.CallKind_CALL_KIND_ORDER {
		return bulkDelay
	}
	return batchDelay
}

// replyDelay returns how long the reply to a call of a kind may wait for others.
func replyDelay(kind messenger.CallKind) time.Duration {
	if kind == messenger.CallKind_CALL_KIND_ORDER {
		return bulkReplyDelay
	}
	return batchDelay
}

func newBatcher(mesh *Mesh, conn gnet.Conn, region string, sentBytes *atomic.Int64) *batcher {
	return &batcher{mesh: mesh, conn: conn, region: region, sentBytes: sentBytes}
}

// send adds a frame to the next batch, which is sent after the delay at the latest. A frame that cannot
// be sent is lost with its connection, whose end both sides notice.
func (b *batcher) send(frame *messenger.Frame, delay time.Duration) error {
	data, err := encodeFrame(frame)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		b.mesh.flusher.schedule(b, b.mesh.Clock, delay)
	} else if delay < bulkReplyDelay {
		b.mesh.flusher.expedite(b.mesh.Clock, delay)
	}
	b.pending = append(b.pending, data...)
	if len(b.pending) >= maxBatchBytes {
		b.flushLocked()
	}
	return nil
}

func (b *batcher) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flushLocked()
}

// flushLocked sends the pending frames. The calling function holds the mutex.
func (b *batcher) flushLocked() {
	if len(b.pending) == 0 {
		return
	}
	data := b.pending
	b.pending = nil
	if !b.mesh.settings.DisableCompression && len(data) >= minCompressedBytes {
		compressed, err := encodeBatch(data)
		if err != nil {
			b.mesh.Log.Error("batch sent without compression", "bytes", len(data), "error", err)
		} else {
			data = compressed
		}
	}
	b.sentBytes.Add(int64(len(data)))
	b.mesh.countSent(b.region, len(data))
	if err := b.conn.AsyncWrite(data, nil); err != nil {
		b.mesh.Log.Debug("cannot send batch", "peer", b.conn.RemoteAddr(), "error", err)
	}
}

// encodeBatch returns the frame of a batch of encoded frames.
func encodeBatch(frames []byte) ([]byte, error) {
	compressed, err := deflater.Compress(frames)
	if err != nil {
		return nil, err
	}
	return encodeFrame(&messenger.Frame{Kind: &messenger.Frame_Batch{Batch: &messenger.Batch{Frames: compressed}}})
}

// maxDecompressedBytes limits the size of the frames in one batch: one frame of the maximum size may be
// added to a batch that is almost full.
const maxDecompressedBytes = maxBatchBytes + lengthPrefixBytes + MaxFrameBytes

// decodeBatch returns the frames of a batch. A batch cannot contain another one.
func decodeBatch(batch *messenger.Batch) ([]*messenger.Frame, error) {
	data, err := deflater.Decompress(batch.GetFrames(), maxDecompressedBytes)
	if err != nil {
		return nil, &FrameError{Reason: "batch cannot be decompressed", Err: err}
	}
	var frames []*messenger.Frame
	for len(data) > 0 {
		length, err := frameLength(data)
		if err != nil {
			return nil, err
		}
		if length == 0 || length > len(data) {
			return nil, &FrameError{Reason: fmt.Sprintf("batch ends within a frame, %d bytes before its end", length-len(data))}
		}
		frame, err := decodeFrame(data[:length])
		if err != nil {
			return nil, err
		}
		if frame.GetBatch() != nil {
			return nil, &FrameError{Reason: "batch within a batch"}
		}
		frames = append(frames, frame)
		data = data[length:]
	}
	return frames, nil
}
