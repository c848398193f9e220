#!/usr/bin/env bash
# The stand-ins of the cases are plain modules without dependencies; this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]/*.mjs; do node --check "$file"; done
echo "stand-ins are ready"
