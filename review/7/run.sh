#!/usr/bin/env bash
# Plays case 7 after the builds of deploy/system.toml and review/build-2.sh. The status is 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/acaciacleat-entry review/bin/standins2.test; do
  if [ ! -x "$program" ]; then
    echo "$program is missing"
    exit 2
  fi
done
CASE=7 TROUBLE="${TROUBLE:-1}" ENTRY="$PWD/target/acaciacleat-entry" RECORD="$PWD/review/7/record.txt" exec review/bin/standins2.test
