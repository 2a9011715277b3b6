package partitionrouter

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionscheduler"
)

// BadCallError reports that the owner of a partition rejected a call as malformed or of an unknown kind.
type BadCallError struct {
	Reason string
}

func (e *BadCallError) Error() string { return "the owner rejected the call as invalid: " + e.Reason }

// ServeCall serves a call that a peer routed to this instance.
func (r *Router) ServeCall(ctx context.Context, call *messenger.Call) *messenger.Reply {
	answer, err := r.serve(ctx, call)
	return encodeReply(answer, err)
}

// serve passes a call to the local owner of its partition.
func (r *Router) serve(ctx context.Context, call *messenger.Call) (modeler.Answer, error) {
	switch call.GetKind() {
	case messenger.CallKind_CALL_KIND_SUBMIT:
		var job modeler.Job
		if err := json.Unmarshal(call.GetJob(), &job); err != nil {
			return modeler.Answer{}, &BadCallError{Reason: err.Error()}
		}
		return r.LocalOwner.Submit(ctx, partitionscheduler.Submission{
			Partition: call.GetPartition(),
			Key:       call.GetKey(),
			Job:       job,
			Wait:      call.GetWait(),
		})
	case messenger.CallKind_CALL_KIND_STATUS:
		return r.LocalOwner.Status(ctx, call.GetPartition(), call.GetKey(), call.GetWait())
	case messenger.CallKind_CALL_KIND_CANCEL:
		return r.LocalOwner.Cancel(ctx, call.GetPartition(), call.GetKey())
	case messenger.CallKind_CALL_KIND_UNSPECIFIED:
	}
	return modeler.Answer{}, &BadCallError{Reason: "unknown call kind " + call.GetKind().String()}
}

func encodeReply(answer modeler.Answer, err error) *messenger.Reply {
	if err == nil {
		text, err := json.Marshal(answer)
		if err != nil {
			return &messenger.Reply{Error: messenger.ErrorKind_ERROR_KIND_BAD_CALL, Reason: err.Error()}
		}
		return &messenger.Reply{Answer: text}
	}
	reply := &messenger.Reply{Reason: err.Error()}
	var refused *modeler.RefusedError
	var notOwner *modeler.NotOwnerError
	var bad *BadCallError
	switch {
	case errors.As(err, &refused):
		reply.Error = messenger.ErrorKind_ERROR_KIND_REFUSED
		reply.Reason = refused.Reason
		reply.Refusal = string(refused.Kind)
		reply.RetryAfterNanos = int64(refused.RetryAfter)
	case errors.As(err, &notOwner):
		reply.Error = messenger.ErrorKind_ERROR_KIND_NOT_OWNER
	case errors.As(err, &bad):
		reply.Error = messenger.ErrorKind_ERROR_KIND_BAD_CALL
	default:
		reply.Error = messenger.ErrorKind_ERROR_KIND_UNDECIDED
	}
	return reply
}

func decodeReply(partition, key string, reply *messenger.Reply) (modeler.Answer, error) {
	switch reply.GetError() {
	case messenger.ErrorKind_ERROR_KIND_UNSPECIFIED:
		var answer modeler.Answer
		if err := json.Unmarshal(reply.GetAnswer(), &answer); err != nil {
			return modeler.Answer{}, &OwnerUnreachableError{Partition: partition, Err: err}
		}
		return answer, nil
	case messenger.ErrorKind_ERROR_KIND_NOT_OWNER:
		return modeler.Answer{}, &modeler.NotOwnerError{Partition: partition}
	case messenger.ErrorKind_ERROR_KIND_REFUSED:
		return modeler.Answer{}, &modeler.RefusedError{
			Kind:       modeler.RefusalKind(reply.GetRefusal()),
			Reason:     reply.GetReason(),
			RetryAfter: time.Duration(reply.GetRetryAfterNanos()),
		}
	case messenger.ErrorKind_ERROR_KIND_BAD_CALL:
		return modeler.Answer{}, &BadCallError{Reason: reply.GetReason()}
	case messenger.ErrorKind_ERROR_KIND_UNDECIDED:
	}
	return modeler.Answer{}, &modeler.UndecidedError{Key: key}
}
