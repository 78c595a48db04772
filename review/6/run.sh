#!/bin/sh
# Runs the case, without its disruption if TROUBLE is 0; review/build-2.sh builds the stand-ins.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/standins-2
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
TROUBLE=${TROUBLE:-1} exec "$program" estimate-far-off review/6
