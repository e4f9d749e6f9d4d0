#!/usr/bin/env bash
# Model-checks the specifications with Spin, and checks that Spin finds a
# violation for every mutant, in which one rule is removed. Every search is
# exhaustive within its bounds.
set -euo pipefail
cd "$(dirname "$0")/../spec"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
passed=0

# check NAME MODEL EXPECTED FLAGS... model-checks MODEL with the preprocessor FLAGS.
# EXPECTED is "holds" or "violated". A search that does not complete is a failure.
check() {
  local name=$1 model=$2 expected=$3
  shift 3
  local dir="$work/$name"
  mkdir -p "$dir"
  cp "$model" "$dir/"
  (cd "$dir" && spin -a "$@" "$model" >/dev/null && gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=6000 -o pan pan.c)
  (cd "$dir" && ./pan -m100000 -w25 >out 2>&1) || true
  local verdict=incomplete
  if grep -q "errors: 0" "$dir/out" && ! grep -qE "max search depth too small|out of memory|Search not completed" "$dir/out"; then
    verdict=holds
  elif grep -q "assertion violated" "$dir/out"; then
    verdict=violated
  fi
  local states
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/out")
  if [ "$verdict" = "$expected" ]; then
    passed=$((passed + 1))
    echo "spec $name: $verdict, as expected ($states states, $*)"
  else
    failed=$((failed + 1))
    echo "spec $name: $verdict, expected $expected ($states states, $*)" >&2
  fi
}

three="-DTERMS=3 -DLENGTH=3 -DATTEMPTS=3 -DCRASHES=0 -DWRITES=1"
check crash promotion.pml holds -DTERMS=3 -DLENGTH=3 -DATTEMPTS=3 -DCRASHES=1 -DWRITES=1
check four-terms promotion.pml holds -DTERMS=4 -DLENGTH=4 -DATTEMPTS=4 -DCRASHES=0 -DWRITES=0
for mutant in ACK_ONE FENCE_ONE NO_OWNER REUSED IGNORE_TERM UNOPENED_READ; do
  # shellcheck disable=SC2086
  check "mutant-$mutant" promotion.pml violated -D$mutant $three
done
check mutant-NO_OPENING promotion.pml violated -DNO_OPENING -DTERMS=4 -DLENGTH=2 -DATTEMPTS=4 -DCRASHES=0 -DWRITES=2
check leaders leaders.pml holds
for mutant in NO_END NO_WAIT LATE_CLOCK EARLY_CHECK VOUCH_MOVING FORGETFUL ALONE EARLY_WAIT READ_EARLY; do
  check "leaders-$mutant" leaders.pml violated -D$mutant
done
check silent leaders.pml holds -DSILENT
for mutant in SILENT_VOTE SILENT_EARLY ALONE EARLY_WAIT; do
  check "silent-$mutant" leaders.pml violated -DSILENT -D$mutant
done
check join leaders.pml holds -DJOIN
for mutant in JOIN_EARLY JOIN_LATE NO_WAIT; do
  check "join-$mutant" leaders.pml violated -DJOIN -D$mutant
done
check loss leaders.pml holds -DLOSS
for mutant in CONFIRM_LOST VOUCH_LOST SETTLE_EARLY SETTLE_BLIND; do
  check "loss-$mutant" leaders.pml violated -DLOSS -D$mutant
done
check calls calls.pml holds
for mutant in SWITCH ROLE HASTY STEP_EARLY NO_REFENCE SAME_TERM; do
  check "calls-$mutant" calls.pml violated -D$mutant
done
check commits commits.pml holds
check commits-faults commits.pml holds -DFAULTS=3
check commits-two commits.pml holds -DSYNC=2
for mutant in FIRST SKIP_MUTE SKIP_GONE SKIP_FORMER DRAIN_LAST EARLY_ASK STALE FORGET_EARLY BLIND; do
  check "commits-$mutant" commits.pml violated -D$mutant
done
check commits-restart commits.pml holds -DRESTART
check commits-NO_LIST commits.pml violated -DRESTART -DNO_LIST
check commits-extent commits.pml holds -DEXTENT
for mutant in EXTENT_EARLY EXTENT_ONE EXTENT_NEW; do
  check "commits-$mutant" commits.pml violated -DEXTENT -D$mutant
done
check commits-FORGET_ONE commits.pml violated -DSYNC=2 -DFORGET_ONE
check limits limits.pml holds
check limits-burst limits.pml holds -DBURST=3 -DVALID=1
for mutant in OWN_EARLY TWICE SWITCH_EARLY NO_REST NO_FLIGHT; do
  check "limits-$mutant" limits.pml violated -D$mutant
done
check limits-ARRIVAL limits.pml violated -DARRIVAL -DBURST=1 -DVALID=2
check limits-FULL limits.pml violated -DFULL -DBURST=3 -DVALID=1
echo "spec: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
