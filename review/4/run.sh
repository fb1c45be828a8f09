#!/usr/bin/env bash
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec timeout --signal=INT --kill-after=5 110 python3 review/4/case.py
