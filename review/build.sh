#!/bin/sh
# The stand-ins are plain JavaScript without dependencies, so that nothing has to be built; this checks that Node.js can parse them.
set -e
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do node --check "$file"; done
