// Package partitionserver puts an entry instance together and takes it apart again.
//
// # Usage
//
//	instance, err := partitionserver.Start(partitionserver.Options{Settings: settings, Secrets: secrets, Clock: clock, Log: log})
//	addresses := instance.Addresses()
//	err = instance.Shutdown(ctx)     // graceful: partitions handed over, open answers finished
//	instance.Kill()                  // at once, as if the process had died
//
// An instance owns nothing before it knows a state of tickets, and the partitions of its region
// come from there.
package partitionserver
