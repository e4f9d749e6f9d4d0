// Package site simulates the users' platform within one process: the metadata
// store, database servers that speak the platform's line protocol, and the HTTP
// call that promotes a server to primary. Tests inject faults through methods of
// Store and Server.
//
// It runs in real time, with TCP on loopback, for the tests of packages edge,
// platform and soak. Package standin does the same for the packages whose targets
// speak PostgreSQL's protocol.
//
// # Usage
//
//	s, err := site.Open(site.Options{Groups: []string{"choir"}, Zones: zones})
//	defer s.Close()
//	s.Servers("choir")[0].SetUnresponsive(true)
package site
