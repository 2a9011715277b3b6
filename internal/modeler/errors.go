package modeler

import (
	"fmt"
	"time"
)

// NotOwnerError tells that this instance does not own the partition, or stopped owning it while
// the call waited. The call may be repeated with the same key at the owner.
type NotOwnerError struct {
	Partition string
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("partition %s is not owned here; repeat the request with the same key", e.Partition)
}

// RefusedError tells that nothing was accepted or done by this call.
type RefusedError struct {
	Kind       RefusalKind
	Reason     string
	RetryAfter time.Duration
}

// RefusalKind sorts refusals for callers.
type RefusalKind string

// The kinds of refusal.
const (
	Overloaded RefusalKind = "overloaded"
	TableDown  RefusalKind = "table-down"
	NoPolicy   RefusalKind = "no-policy"
	KeyReused  RefusalKind = "key-reused"
	UnknownKey RefusalKind = "unknown-key"
)

func (e *RefusedError) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Reason) }

// UndecidedError tells that the wait ended while it was not certain that the job was accepted.
type UndecidedError struct {
	Key string
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("%s: not known yet whether it was accepted; repeat the request with the same key", e.Key)
}
