#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:packages/baobablane-standin:review/standin-2 PYTHONDONTWRITEBYTECODE=1 \
    exec timeout -k 5 110 python3 review/6/case.py
