#!/usr/bin/env bash
# From a fresh checkout to a fleet under load: installs, builds, starts, declares, sends, checks, ends.
# With --platform: the same product on stand-ins of the users' platform. Exits 0 only if every answer was checked and right.
set -euo pipefail
cd "$(dirname "$0")/.."
. tools/packages.sh
echo "== 1/3 packages"
installPackages tools/packages.txt
echo "== 2/3 building into build/ (the first time takes some minutes)"
cmake -S . -B build -G Ninja
if [ "${1:-}" = --platform ]; then
    cmake --build build --target sagechute-standin-store sagechute-standin-worker sagechute-edge-program
    echo "== 3/3 edge routers on the stand-ins of the users' platform"
    exec python3 -B tools/platform-demo.py build
fi
cmake --build build --target sagechute-standin-platform sagechute-standin-target sagechute-router sagechute-api sagechutectl sagechute-load
echo "== 3/3 three routers in three availability zones, one API, stand-ins for targets and platform"
exec tools/experiment.sh demo --deployment himalbid --routers 3 "$@"
