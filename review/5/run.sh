#!/bin/sh
# Runs the case. TROUBLE=0 leaves out the disruption; review/bin/drill reads it.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/drill ] || [ ! -x target/vt-edge ]; then
  echo "build the programs first: the line build of deploy/system.toml, and review/build.sh" >&2
  exit 2
fi
export TROUBLE="${TROUBLE:-1}"
exec review/bin/drill fatal-part review/5/record.txt
