#!/bin/sh
# Runs the case whose number is given. Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
number=$1
if [ ! -x "target/review-2/case-$number" ] || [ ! -x target/release/beaconshore ]; then
    echo "not built: run the build of deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
CASE_RECORD="$PWD/review/$number/record.txt"
export CASE_RECORD
# The driver ends with the program that started it, whatever ends that.
timeout -k 2 115 "target/review-2/case-$number"
code=$?
rm -rf "$CASE_TMP"
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
