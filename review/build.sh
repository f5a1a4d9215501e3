#!/usr/bin/env bash
# Builds the stand-ins of the cases into build-review/, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/stage/*.cpp -o build-review/stage
