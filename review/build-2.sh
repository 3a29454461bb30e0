#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The programs of the project are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -o target/stand2 ./review/stand2
