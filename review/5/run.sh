#!/bin/sh
# Plays the case after the build of the deploy file and review/build.sh. With TROUBLE=0
# the disruption is left out. Exits with 1 if the rule was broken, 0 if it held.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/rig first review/5
