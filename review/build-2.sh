#!/bin/bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network. The
# build of the deploy file builds the project's own program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/rig-2 && GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../../target/rig2 .)
