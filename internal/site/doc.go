// Package site is a small stand-in for the users' platform in one process: its
// metadata store, database servers that speak its line protocol, and the call
// that promotes one of them. Faults are struck from tests.
//
// # Usage
//
//	s, err := site.Open(site.Shape{Groups: []string{"choir"}, Zones: zones})
//	defer s.Close()
//	s.Servers("choir")[0].SetDark(true)
package site
