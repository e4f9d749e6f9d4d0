#!/usr/bin/env bash
# Mutation tests: removes one safety rule at a time in a copy of the source tree
# and checks that the tests fail. A mutant with passing tests shows that the tests
# do not cover its rule.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
caught=0
missed=0

# mutant NAME FILE PATTERN REPLACEMENT PACKAGE replaces the first match of a Perl
# pattern in a file and runs the tests of a package. A pattern without a match
# counts as a failure.
mutant() {
  local copy="$work/$1"
  mkdir -p "$copy"
  git ls-files -z | tar --null -T - -cf - | tar -xf - -C "$copy"
  (cd "$copy" && perl -0pi -e "s/$3/$4/" "$2")
  if cmp -s "$2" "$copy/$2"; then
    echo "mutant $1: the pattern matches nothing" >&2
    missed=$((missed + 1))
    return
  fi
  if (cd "$copy" && go test "$5" >"$copy/out" 2>&1); then
    echo "mutant $1: not noticed" >&2
    missed=$((missed + 1))
  else
    caught=$((caught + 1))
    echo "mutant $1: noticed: $(grep -m1 -oE 'invariant broken: .{0,80}|[a-z]+ [0-9]+ .{0,20}(was lost|ran [0-9]+ times|ran in the transaction).{0,40}|refused request.{0,20}|session [0-9]+ (wrote|went|saw).{0,60}|aged read.{0,60}|row k[0-9] is not linearizable|saw r[0-9]+, which was lost|Expected$|a VM does not have.{0,40}|went down.{0,40}' "$copy/out" | head -1)"
  fi
  rm -rf "$copy"
}

world=./internal/world
mutant no-majority group/view.go 'return holders >= m.quorum\(\)' 'return holders >= 1' $world
mutant no-confirmation group/view.go 'return n >= m.quorum\(\)\n\}\n\n\/\/ readIndex' 'return true\n}\n\n\/\/ readIndex' ./group
mutant no-read-index group/view.go 'return last\[m.quorum\(\)-1\], true' 'return Position{}, true' $world
mutant no-floor group/release.go '\|\| !first.Reaches\(w.required\) \|\| !first.Reaches\(w.Floor\)' '' ./group
mutant no-age group/samples.go 'if e.takenAt < now-age \{\n\t\t\treturn false' 'if false {\n\t\t\treturn false' ./group
mutant rerun-any-write group/requests.go 'if !w.Read && !w.Repeatable \{\n\t\treturn false' 'if false {\n\t\treturn false' $world
mutant rerun-on-same-target group/routing.go 'v == nil \|\| w.mayHaveRun && w.lastTarget == v.Name' 'v == nil' $world
mutant transaction-not-pinned group/slots.go 's.session = r.session\n' '' $world
mutant fence-of-one group/promotion.go 'len\(p.fenced\) >= m.quorum\(\) && p.majorityAt' 'len(p.fenced) >= 1 \&\& p.majorityAt' $world
mutant version-goes-down roster/exchange.go 'if e.Version < d.version \{\n\t\treturn\n\t\}\n\tnewer := e.Version > d.version' 'newer := e.Version != d.version' ./roster
mutant no-push roster/exchange.go 'if newer \{\n\t\tm.announce\(""\)\n\t\}' '' ./roster
mutant any-key front/access.go '!known \{' '!known \&\& false {' ./front
mutant outdated-start front/access.go 'if keyed && !srv.isCurrent\(\)' 'if false' ./front
mutant outdated-operation front/access.go 'if needsKey\(c, r\) && !s.server.isCurrent\(\)' 'if false' ./front
mutant no-second-lookup front/access.go 'if !s.checkKey\(c\) \{' 'if false {' ./front
mutant revoked-while-starting front/session.go 's.checkKey\(s.server.Catalog.Current\(\)\)' '' ./front
mutant revoked-transaction-goes-on front/access.go 'case s.isExpired\(\):' 'case false:' ./front
mutant older-configuration catalog/catalog.go 'next.Version <= current.Version' 'next.Version == current.Version' ./front
mutant need-without-customer front/attempt.go 'Customer:      a.session.customer,' '' ./front
mutant admitted-at-each-try front/attempt.go 'slot, need, err := a.acquireAligned\(ctx\)' 'a.session.admitOperation(ctx, a.route)\n\t\tslot, need, err := a.acquireAligned(ctx)' ./front
mutant part-of-a-digest customer/customer.go 'k.digest\[:\], d\[:\]' 'k.digest[:4], d[:4]' ./customer
mutant own-share-early quota/call.go 'c.mayUseOwn && now >= c.heldUntil' 'c.mayUseOwn' ./quota
mutant delegates-after-restart quota/call.go 'limiter == c.delegatedTo \|\| now >= c.heldUntil' 'true' ./quota
mutant delegated-from-arrival quota/pool.go 'at\+DelegationTime' 'max(at, now)+DelegationTime' ./quota
mutant debit-at-grant quota/bucket.go 'at := \(now\+.*?\+ 1\n' 'at := now + 0*slot\n' ./quota
mutant own-share-full quota/account.go '= 0, since, since' '= a.limit.burst(), since, since' ./quota
mutant capacity-not-cut quota/bucket.go 'b.level = min\(b.level, capacity\)' '_ = capacity' ./quota
echo "mutants: $caught passed, $missed failed"
[ "$missed" -eq 0 ]
