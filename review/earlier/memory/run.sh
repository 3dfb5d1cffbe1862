#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Run the build of the deploy file and
# review/build.sh before.
cd "$(dirname "$0")/../../.." || exit 2
exec target/review/stand memory review/earlier/memory
