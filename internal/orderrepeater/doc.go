// Package orderrepeater sends orders to workers and repeats those that are not answered in the usual time.
//
// # Usage
//
//	workers := orderrepeater.New(orderrepeater.Dependencies{Workers: client, Clock: clock, Log: log, Metrics: metrics})
//	header, err := workers.Start(ctx, worker, order)
//
// It is designed for workers that answer within milliseconds and for some seconds leave a few orders in a
// hundred unanswered, to carry them out seconds later or not at all. A job of five tasks depends on a dozen
// orders, so that a few in a hundred delay half of all jobs.
//
// Every order may arrive twice: a worker that has carried out one copy answers the next one the same way, and
// a run that has ended there is not started again. The refusal of a repeated start leaves the order in doubt,
// because another copy may have been carried out or may still be.
package orderrepeater
