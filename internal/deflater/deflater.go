// Package deflater compresses the messages between instances and the rows that they store. Both
// repeat the names of workers and fields many times, and the links of small machines are slow.
//
// # Usage
//
//	small := deflater.Compress(data)
//	data, err := deflater.Decompress(small, maxBytes)
//
// All functions are safe for concurrent use. They share one compressor, whose buffers are larger than
// most of the data.
package deflater

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// compressor is the shared compressor, created by the first use.
var compressor struct {
	mu     sync.Mutex
	writer *flate.Writer
}

// Compress returns data in the deflate format (RFC 1951). It favours speed over size.
func Compress(data []byte) ([]byte, error) {
	c := &compressor
	c.mu.Lock()
	defer c.mu.Unlock()
	var out bytes.Buffer
	out.Grow(len(data)/2 + 64)
	if c.writer == nil {
		writer, err := flate.NewWriter(&out, flate.BestSpeed)
		if err != nil {
			return nil, errors.Wrap(err, "create compressor")
		}
		c.writer = writer
	} else {
		c.writer.Reset(&out)
	}
	if _, err := c.writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := c.writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

// TooLargeError reports data that is larger than the reader accepts. Limit is in bytes.
type TooLargeError struct{ Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the decompressed data exceeds the limit of %d bytes", e.Limit)
}

var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// Decompress returns the data that was compressed by Compress. The error is a *TooLargeError if it has
// more than limit bytes, and otherwise says that the input is corrupt.
func Decompress(compressed []byte, limit int) ([]byte, error) {
	reader := decompressors.Get().(io.Reader)
	defer decompressors.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(compressed), nil); err != nil {
		return nil, errors.Wrap(err, "reset decompressor")
	}
	var out bytes.Buffer
	out.Grow(min(limit, 4*len(compressed)))
	if _, err := io.Copy(&out, io.LimitReader(reader, int64(limit)+1)); err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if out.Len() > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	return out.Bytes(), nil
}
