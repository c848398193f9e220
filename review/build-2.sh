#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start; needs no network.
set -eu
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -b
