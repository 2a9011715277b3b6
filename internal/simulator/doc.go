// Package simulator is a small simulated platform: table service, object store, instance list and
// workers behind one HTTP handler. It serves the demo and tests, and models only the limits and faults
// of a platform that the scheduler must tolerate.
//
// # Usage
//
//	platform := simulator.New(simulator.Settings{Workers: workers}, clock)
//	http.Serve(listener, platform.Handler())
//	platform.SetFaults(simulator.Faults{TableDown: true})
//	events := platform.Events()
//
// Events returns what the workers executed. The auditor reads these events and no internal state of
// the scheduler.
package simulator
