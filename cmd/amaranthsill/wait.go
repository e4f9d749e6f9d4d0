package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"amaranthsill/submission"
)

// pollInterval is the pause between two rounds of status requests to the VMs.
const pollInterval = 200 * time.Millisecond

// errNoVMs reports that --wait was given without --vms.
var errNoVMs = errors.New("--wait needs --vms with the admin addresses of the VMs")

// zoneReport lists the VMs of an availability zone that have the submitted
// version in force.
type zoneReport struct {
	Zone string   `json:"zone"`
	VMs  []string `json:"vms"`
}

// highestVersion returns the highest version that the VMs given with --vms have
// in force. The submission gets a higher one, so that a store that lost its
// manifest does not assign the same version twice.
func (s *submitFlags) highestVersion(ctx context.Context) uint64 {
	highest := uint64(0)
	if s.vms == "" {
		return highest
	}
	for a := range strings.SplitSeq(s.vms, ",") {
		// With --wait, awaitVersion reports a VM that does not answer.
		if status, err := fetchStatus(ctx, a); err == nil {
			highest = max(highest, status.Version)
		}
	}
	return highest
}

// awaitVersion polls the VMs until all have the accepted version in force or the
// context ends, and prints the result after the text. It returns exitUnknown if
// a VM has not confirmed the version by then.
func (s *submitFlags) awaitVersion(ctx context.Context, o submission.Accepted, text string) error {
	if s.vms == "" {
		return errNoVMs
	}
	missing := strings.Split(s.vms, ",")
	zones := map[string][]string{}
	for {
		missing = s.pollVMs(missing, o.Version, zones)
		if len(missing) == 0 || ctx.Err() != nil {
			break
		}
		time.Sleep(pollInterval)
	}
	r := submitReport{Outcome: "accepted", Version: o.Version, Missing: missing}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		r.Zones = append(r.Zones, zoneReport{Zone: zone, VMs: zones[zone]})
		text += fmt.Sprintf("\nin force in %s: %s", zone, strings.Join(zones[zone], ", "))
	}
	if len(missing) > 0 {
		text += "\nnot confirmed in time: " + strings.Join(missing, ", ")
		return printResult(s.asJSON, r, text, exitUnknown)
	}
	return printResult(s.asJSON, r, text, 0)
}

// pollVMs requests the status of each VM once. It returns the addresses of those
// that do not have the version in force yet, and adds the others to zones, by
// availability zone.
func (s *submitFlags) pollVMs(addresses []string, version uint64, zones map[string][]string) []string {
	missing := []string{}
	for _, a := range addresses {
		// The context of the submission may have ended already, but each VM is
		// asked at least once.
		status, err := fetchStatus(context.Background(), a)
		if err != nil || status.Version < version {
			missing = append(missing, a)
			continue
		}
		zones[status.Zone] = append(zones[status.Zone], status.VM)
	}
	return missing
}
