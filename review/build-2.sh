#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into the tree of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release
cmake --build target -j8 --target sagechute-standin-store
