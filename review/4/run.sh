#!/bin/sh
# Plays this case; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-standin-2
if [ ! -x "$program" ] || [ ! -x target/tamarindring ]; then
	echo "build first: the build of deploy/system.toml, and review/build-2.sh" >&2
	exit 2
fi
exec "$program" giant review/4/record.txt
