#!/usr/bin/env bash
# Runs every proof of docs/PROOFS.md (the tests in internal/prove) and prints one
# line per proof. Exits 0 when all pass.
# Usage: scripts/prove.sh [RUN], where RUN selects proofs as go test -run does.
set -uo pipefail
cd "$(dirname "$0")/.."
mkdir -p out
VERBENATRAIL_PROVE=all ${GO:-go} test -count=1 -v -parallel "${PARALLEL:-3}" -timeout 15m -run "${1:-.}" ./internal/prove >out/prove.log 2>&1
status=$?
grep -a '^promise=' out/prove.log | sort
[ $status -eq 0 ] || echo "not all proofs passed, see out/prove.log" >&2
exit $status
