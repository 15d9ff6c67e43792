#!/bin/sh
# Runs one case: run-case.sh N. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
number=$1
cd "$(dirname "$0")/.." || exit 2
DEPLOY_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
program=target/review/case-$number
if [ -z "$DEPLOY_RUN" ] || [ ! -x target/release/beaconshore ] || [ ! -x "$program" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build.sh"
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_TMP"' EXIT
TROUBLE=${TROUBLE:-1}
export DEPLOY_RUN CASE_TMP TROUBLE
# The case's program ends its drivers; they end with it if it is killed.
timeout -k 1 110 "$program" "review/$number/record.txt"
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
