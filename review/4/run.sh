#!/usr/bin/env bash
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps timeout --signal=TERM --kill-after=5 112 \
    python3 review/4/case.py &
case_process=$!
trap 'kill -TERM "$case_process"' TERM INT
wait "$case_process"
status=$?
[ "$status" -le 1 ] && exit "$status"
wait "$case_process"
exit 2
