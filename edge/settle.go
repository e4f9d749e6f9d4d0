package edge

import (
	"context"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/peer/peerpb"
	"amaranthsill/pool"
	"amaranthsill/succession"
)

// Timing of writing the leader record again after the store came back from an older
// copy.
const (
	// settleTimeout bounds one attempt: the wait for VMs that do not answer, and
	// the calls to the store.
	settleTimeout = succession.TakeOver + 3*time.Second
	// settleBackoff is how long a VM leaves it to another one that has announced
	// an attempt.
	settleBackoff = settleTimeout + time.Second
	// surveyTimeout bounds one question to a single VM, and surveyInterval is the
	// time between two rounds of questions.
	surveyTimeout  = 250 * time.Millisecond
	surveyInterval = 100 * time.Millisecond
)

// Survey implements succession.Fleet.
func (f *fleet) Survey(ctx context.Context, era uint64) succession.Survey {
	s := succession.Survey{}
	missing := map[string]Peer{}
	for _, p := range f.directory.members().peers {
		if p.Name != f.Settings.VM() {
			missing[p.Name] = p
		}
	}
	q := &peerpb.GatherRequest{Record: f.recordMessage(), Settling: true}
	take := func(members []*peerpb.Status) {
		for _, m := range members {
			if m.GetEra() >= era {
				delete(missing, m.GetName())
				s.Remembers = s.Remembers || m.GetResting()
			}
		}
	}
	for members := range f.gatherAll(ctx, q) {
		take(members)
	}
	for len(missing) > 0 && ctx.Err() == nil {
		take(f.askEach(ctx, missing, q))
		if len(missing) > 0 {
			sleep(ctx, surveyInterval)
		}
	}
	s.Complete = len(missing) == 0
	if !s.Complete {
		f.Log.Info("some VMs did not tell the newest leader record that they know", "missing", len(missing), "era", era)
	}
	return s
}

// askEach returns the states of single VMs that answer.
func (f *fleet) askEach(ctx context.Context, peers map[string]Peer, q *peerpb.GatherRequest) []*peerpb.Status {
	answers := make(chan []*peerpb.Status, len(peers))
	for _, p := range peers {
		go func() {
			// Without a timeout in the request, the VM asks no others.
			alone := &peerpb.GatherRequest{Record: q.GetRecord(), Settling: q.GetSettling()}
			members, _ := f.callGather(ctx, p, alone, surveyTimeout)
			answers <- members
		}()
	}
	all := []*peerpb.Status{}
	for range peers {
		all = append(all, <-answers...)
	}
	return all
}

// settleRecord has the leader record written again if it is from an earlier era of the
// store or names none. Each VM waits for its rank times rankDelay, and leaves it to a
// VM that has announced an attempt, so that normally only one VM asks all others.
func (s *supervisor) settleRecord(ctx context.Context, groups map[string]catalog.Group) {
	outdated := s.grants.Outdated()
	if !outdated && !s.grants.Unstamped() || !s.registered.Load() || s.recordingLeaders.Load() {
		s.outdatedSince = 0
		return
	}
	now := s.Now()
	if s.outdatedSince == 0 {
		s.outdatedSince = now
	}
	announced := time.Duration(s.settledByOther.Load())
	if now-s.outdatedSince < time.Duration(s.rank(""))*rankDelay || announced != 0 && now-announced < settleBackoff {
		return
	}
	leaders := s.reportedLeaders(groups)
	s.recordingLeaders.Store(true)
	go func() {
		defer s.recordingLeaders.Store(false)
		limited, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		var err error
		if outdated {
			err = s.mover.Settle(limited, leaders)
		} else {
			err = s.mover.Stamp(limited)
		}
		if err != nil {
			s.Log.Info("leader record was not written again in the store's present era; trying again", "reason", err.Error())
		}
		s.wakeSupervisor()
	}()
}

// reportedLeaders returns by group the sole target that reports itself as the primary;
// empty if there are several, and no entry if there is none.
func (s *supervisor) reportedLeaders(groups map[string]catalog.Group) map[string]string {
	leaders := map[string]string{}
	for name := range groups {
		for _, t := range s.directory.Targets(name) {
			if t.Role != pool.RolePrimary {
				continue
			}
			if _, several := leaders[name]; several {
				leaders[name] = ""
				break
			}
			leaders[name] = t.ID
		}
	}
	return leaders
}
