#!/usr/bin/env bash
# Configures, builds and runs all tests. Arguments go to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
. tools/packages.sh
installPackages tools/packages.txt
echo "== configuring build/"
cmake -S . -B build -G Ninja
echo "== building"
cmake --build build
echo "== running the tests"
exec ctest --test-dir build --output-on-failure -j "$(nproc)" "$@"
