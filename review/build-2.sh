#!/usr/bin/env bash
# The stand-ins of review/6 and later are plain modules of Node.js: nothing has to be built, only the daemon must be there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/trefoilshuntd.cjs
for file in review/standins-2/*.mjs review/[6-9]/*.mjs; do node --check "$file"; done
