package modeler

import (
	"fmt"
	"time"
)

// NotOwnerError reports that this instance does not own the partition, or lost its ownership while
// the call was waiting. The call may be repeated at the owner with the same key.
type NotOwnerError struct {
	Partition string
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("this instance does not own partition %s; repeat the request with the same key", e.Partition)
}

// RefusedError reports that the call was refused and had no effect. RetryAfter is the time after
// which the caller may try again.
type RefusedError struct {
	Kind       RefusalKind
	Reason     string
	RetryAfter time.Duration
}

// RefusalKind is the category of a refusal that callers can act on.
type RefusalKind string

// The kinds of refusal.
const (
	Overloaded RefusalKind = "overloaded"
	// TableDown means that the table service does not answer.
	TableDown RefusalKind = "table-down"
	// NoPolicy means that the team has no policy for the class of the job.
	NoPolicy RefusalKind = "no-policy"
	// KeyReused means that the key belongs to a different request.
	KeyReused RefusalKind = "key-reused"
	// UnknownKey means that there is no job with the key.
	UnknownKey RefusalKind = "unknown-key"
)

func (e *RefusedError) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Reason) }

// UndecidedError reports that the wait timed out before it was known whether the job was accepted.
type UndecidedError struct {
	Key string
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("%s: not yet known whether the job was accepted; repeat the request with the same key", e.Key)
}
