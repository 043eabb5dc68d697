#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/cases.test ] && [ -x ../../target/acaciacleat-entry ] || { echo 'build first: the build of deploy/system.toml, then review/build.sh'; exit 2; }
exec ../bin/cases.test 2 ../.. record.txt
