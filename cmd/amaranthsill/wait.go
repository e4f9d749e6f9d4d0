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

// waitPause is the time between two rounds of questions to the VMs.
const waitPause = 200 * time.Millisecond

// errNoVMs reports --wait without --vms.
var errNoVMs = errors.New("--wait needs --vms with the admin addresses of the VMs")

// zoneReport names the VMs of a zone that have a version in force.
type zoneReport struct {
	Zone string   `json:"zone"`
	VMs  []string `json:"vms"`
}

// floor returns the highest version that the given VMs have in force, so that
// a store that lost its manifest gives no version out twice.
func (s *submitter) floor(ctx context.Context) uint64 {
	highest := uint64(0)
	if s.vms == "" {
		return highest
	}
	for a := range strings.SplitSeq(s.vms, ",") {
		// A VM that does not answer is reported by await.
		if status, err := fetchStatus(ctx, a); err == nil {
			highest = max(highest, status.Version)
		}
	}
	return highest
}

// await asks the VMs until all have the version in force or the time is up.
func (s *submitter) await(ctx context.Context, o submission.Accepted, text string) error {
	if s.vms == "" {
		return errNoVMs
	}
	missing := strings.Split(s.vms, ",")
	zones := map[string][]string{}
	for {
		missing = s.ask(missing, o.Version, zones)
		if len(missing) == 0 || ctx.Err() != nil {
			break
		}
		time.Sleep(waitPause)
	}
	r := submitReport{Outcome: "accepted", Version: o.Version, Missing: missing}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		r.Zones = append(r.Zones, zoneReport{Zone: zone, VMs: zones[zone]})
		text += fmt.Sprintf("\nin force in %s: %s", zone, strings.Join(zones[zone], ", "))
	}
	if len(missing) > 0 {
		text += "\nnot confirmed in time: " + strings.Join(missing, ", ")
		return report(s.asJSON, r, text, exitUnknown)
	}
	return report(s.asJSON, r, text, 0)
}

// ask asks each VM once and returns those that do not have the version yet.
func (s *submitter) ask(addresses []string, version uint64, zones map[string][]string) []string {
	missing := []string{}
	for _, a := range addresses {
		// A VM is asked also when the time is up, so that each is asked once.
		status, err := fetchStatus(context.Background(), a)
		if err != nil || status.Version < version {
			missing = append(missing, a)
			continue
		}
		zones[status.Zone] = append(zones[status.Zone], status.VM)
	}
	return missing
}
