#!/usr/bin/env bash
# Builds the stand-ins and the drivers that the scripts of the review start, in build/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build/review -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build/review --target review
