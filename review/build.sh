#!/bin/sh
# Builds the stand-ins of the cases that are scripts.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -C review/stand -o ../../target/review/stand .
go build -C review/rig -o ../../target/review/rig .
