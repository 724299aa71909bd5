#!/usr/bin/env bash
# Runs a scenario on real processes over loopback; --list names them, --help shows the settings.
set -euo pipefail
exec python3 -B "$(dirname "$0")/experiment.py" "$@"
