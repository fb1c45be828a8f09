#!/usr/bin/env bash
# Check that the stand-ins of cases 11 to 15 can be imported; they need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:packages/baobablane-standin:review/standin-3 PYTHONDONTWRITEBYTECODE=1 \
    python3 -c "import baobablane_standin.platform, order_proxy, site3, store_proxy"
