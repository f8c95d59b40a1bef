#!/usr/bin/env bash
# Checks the models: each must hold within its bounds, and must fail once one of its safety steps is switched
# off. Prints the bounds and the states explored; exits non-zero otherwise. Needs spin and gcc.
set -euo pipefail
cd "$(dirname "$0")"
models=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# run NUMBER MODEL WANTED DEFINITIONS...: explores every state; WANTED is "holds" or "fails".
run() {
  local model=$2 wanted=$3 folder=$work/$1
  shift 3
  mkdir "$folder"
  cd "$folder"
  spin -a "$@" "$models/$model.pml" >spin.txt 2>&1 || { cat spin.txt; return 1; }
  gcc -O2 -w -DSAFETY -DNOREDUCE -DMEMLIM=450 "$@" -o verifier pan.c
  ./verifier -m200000 -w20 >result.txt 2>&1 || true
  local states errors
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' result.txt)
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' result.txt)
  local found=unfinished
  if grep -q -E 'out of memory|max search depth too small|Search not completed' result.txt && [ "$errors" = 0 ]; then
    found=unfinished
  elif [ "$errors" = 0 ]; then
    found=holds
  elif grep -q 'assertion violated' result.txt; then
    found=fails
  fi
  printf '%-10s %-6s %9s states  %s\n' "$model" "$found" "$states" "$*"
  [ "$found" = "$wanted" ] || { cat result.txt; return 1; }
}

# Each line: model, what is wanted, bounds and the safety step that is switched off. The longest go first.
runs() {
  local failover="-DATTEMPTS=2 -DTRIES=2 -DTAIL=2 -DCOMMITS=7"
  local retention="-DATTEMPTS=2 -DTRIES=1 -DTAIL=0 -DTICKS=4"
  local repair="-DVOTERS=3 -DENTRIES=3 -DTERMS=2"
  local lease="-DHOLDERS=1 -DSLOTS=1 -DTERMS=2 -DVERSIONS=2 -DRESTARTS=0"
  echo "claims holds $retention -DCOMMITS=7 -DEXACT_TICKETS"
  echo "claims holds $retention -DCOMMITS=6"
  echo "claims holds $failover"
  echo "claims holds -DATTEMPTS=3 -DTRIES=1 -DTAIL=1 -DCOMMITS=5"
  echo "membership holds -DVOTERS=4 -DENTRIES=2 -DTERMS=3"
  echo "membership holds -DVOTERS=3 -DENTRIES=2 -DTERMS=3"
  echo "membership holds $repair"
  for step in ANSWER_BEFORE_COMMIT IGNORE_TICKETS GRANT_TWICE TRUST_LOST_BEGIN REFUSE_WITHOUT_LEDGER; do
    echo "claims fails -D$step $failover"
  done
  for step in DROP_WITHOUT_FLOOR REUSE_EXPIRED REFUSE_BELOW_FLOOR; do
    echo "claims fails -D$step $retention -DCOMMITS=6"
  done
  echo "membership fails -DVOTE_AFTER_DISK_LOSS -DVOTERS=3 -DENTRIES=2 -DTERMS=2"
  echo "membership fails -DCHANGE_WITHOUT_OWN_COMMIT -DVOTERS=4 -DENTRIES=2 -DTERMS=3"
  echo "membership fails -DCONCURRENT_CHANGES $repair"
  echo "replacement holds -DCOMMANDS -DENTRIES=4"
  echo "replacement holds -DENTRIES=5"
  for step in KEEP_IDENTITY VOTE_FOR_OLD_LOG REMOVE_FIRST PROMOTE_WITHOUT_PLACE PROMOTE_SILENT PROMOTE_BEHIND; do
    echo "replacement fails -D$step -DCOMMANDS -DENTRIES=4"
  done
  echo "lease holds $lease"
  echo "lease holds -DHOLDERS=1 -DSLOTS=2 -DTERMS=2 -DVERSIONS=1 -DRESTARTS=1"
  echo "lease holds -DHOLDERS=2 -DSLOTS=1 -DTERMS=1 -DVERSIONS=1 -DRESTARTS=0"
  for step in SKIP_LEASE_CHECK SKIP_NEW_LEADER_WAIT GRANT_ANY_VERSION GRANT_WITHOUT_CONFIRMATION COUNT_FROM_REPLY STALE_TABLE; do
    echo "lease fails -D$step $lease"
  done
}

export -f run
export work models
runs | awk '{print NR, $0}' | xargs -P 4 -L 1 bash -c 'set -euo pipefail; run "$@"' run
echo "models: all as wanted"
