#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; the instances come from the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -trimpath -o target/review/stand ./review/stand
