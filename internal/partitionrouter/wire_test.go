package partitionrouter

import (
	"testing"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

func TestUndecidedReplyNamesTheKey(t *testing.T) {
	_, err := decodeReply("p", "crew/quote-1", &messenger.Reply{Error: messenger.ErrorKind_ERROR_KIND_UNDECIDED, Reason: "the owner is busy"})
	var undecided *modeler.UndecidedError
	if !errors.As(err, &undecided) || undecided.Key != "crew/quote-1" {
		t.Errorf("got %#v, want the key of the request", err)
	}
}
