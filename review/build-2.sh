#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the daemons: nothing. Their stand-ins
# (review/bed2/bed.py) need Python 3.11 and its standard library, and no other program.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c "import asyncio, tomllib; asyncio.timeout" # Of 3.11 on.
[ -x target/src/dunehookd ] || { echo "run the deploy file's build first"; exit 1; }
