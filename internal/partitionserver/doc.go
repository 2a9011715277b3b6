// Package partitionserver starts and stops an instance in stand-alone mode.
//
// # Usage
//
//	options := partitionserver.Options{Settings: settings, Secrets: secrets, Clock: clock, Log: log}
//	instance, err := partitionserver.Start(options)
//	addresses := instance.Addresses()
//	err = instance.Shutdown(ctx)     // graceful: hands over partitions, completes open requests
//	instance.Kill()                  // immediate, like a crash of the process
//
// An instance claims no partitions until it has a ticket in force, because the ticket state lists the
// partitions of its region.
package partitionserver
