// Package edge runs one entry VM in front of database groups whose leaders only
// the platform can promote. It connects package front, which serves callers, to
// the connection pools of the groups, and keeps both up to date from the
// platform's store and from the other VMs.
//
// # Usage
//
//	s, err := edge.ReadSettings("edge.json")
//	vm := &edge.VM{Settings: s, Adapter: platform.NewAdapter(s, log), Now: clock.SinceBoot, Log: log}
//	err = vm.Run(ctx)
package edge
