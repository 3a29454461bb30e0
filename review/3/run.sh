#!/usr/bin/env bash
# Plays the case of this folder after the build of the deploy file and review/build.sh. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run; with TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/jxd ] || [ ! -x target/review/stand ]; then
	echo "not built: run the build line of deploy/system.toml and review/build.sh" >&2
	exit 2
fi
exec target/review/stand stop "review/3"
