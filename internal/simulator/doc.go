// Package simulator is a small stand-in for the platform: table service, object store, instance
// list and workers, behind one HTTP handler. It exists for the demo and for tests; it imitates
// the limits and faults that the scheduler has to live with and models nothing else.
//
// # Usage
//
//	platform := simulator.New(simulator.Settings{Workers: workers}, clock)
//	http.Serve(listener, platform.Handler())
//	platform.SetFaults(simulator.Faults{TableDown: true})
//	events := platform.Events()
//
// Events is the record of what the workers really did. The auditor reads it and nothing of the
// scheduler's own state.
package simulator
