#!/bin/sh
# Plays the case "lengths" of review/standin2, which claim.txt explains. The exit status is 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/standin2 ] || [ ! -x bin/gateway ]; then
    echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
exec bin/standin2 lengths review/10
