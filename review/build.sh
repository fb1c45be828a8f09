#!/usr/bin/env bash
# Build the stand-ins of the cases: they need only what the deploy file has built.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c 'import aiohttp'
python3 -m compileall -q review
