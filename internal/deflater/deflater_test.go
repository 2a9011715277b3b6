package deflater_test

import (
	"bytes"
	"sync"
	"testing"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/deflater"
)

func TestDecompressReturnsWhatWasCompressed(t *testing.T) {
	inputs := [][]byte{nil, []byte("a"), bytes.Repeat([]byte(`{"run":1,"at":{"worker":"i-bc45447f0c","born":1777174001042}}`), 40)}
	var group sync.WaitGroup
	for i := range 30 {
		group.Go(func() {
			input := inputs[i%len(inputs)]
			compressed, err := deflater.Compress(input)
			if err != nil {
				t.Error(err)
				return
			}
			output, err := deflater.Decompress(compressed, 4096)
			if err != nil || !bytes.Equal(input, output) {
				t.Errorf("%d bytes became %d, error %v", len(input), len(output), err)
			}
		})
	}
	group.Wait()
}

func TestDecompressRejectsBadInput(t *testing.T) {
	compressed, err := deflater.Compress(make([]byte, 4096))
	if err != nil {
		t.Fatal(err)
	}
	var tooLarge *deflater.TooLargeError
	if _, err := deflater.Decompress(compressed, 4095); !errors.As(err, &tooLarge) {
		t.Errorf("data over the limit: got %v, want a TooLargeError", err)
	}
	if _, err := deflater.Decompress(compressed[:len(compressed)-2], 4096); err == nil {
		t.Error("truncated data was accepted")
	}
	if _, err := deflater.Decompress([]byte("not deflate"), 4096); err == nil {
		t.Error("corrupt data was accepted")
	}
}
