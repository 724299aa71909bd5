#!/usr/bin/env bash
# Runs the benches and bounded runs of real processes, and writes their rounded figures into docs/measurements/.
# Usage: tools/measure.sh BUILD_DIR [PART...]; without parts all of them. --help names the parts.
set -euo pipefail
exec python3 -B "$(dirname "$0")/measure.py" "$@"
