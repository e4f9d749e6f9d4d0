// Package edge puts one entry VM together for databases that only the
// platform promotes: callers in front, the groups' pools behind, and what the
// VM learns from the platform's store and from its peers.
//
// # Usage
//
//	s, err := edge.ReadSettings("edge.json")
//	vm := &edge.VM{Settings: s, Adapter: platform.NewAdapter(s), Log: log}
//	err = vm.Run(ctx)
package edge
