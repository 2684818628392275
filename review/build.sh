#!/bin/sh
# Builds the stand-ins of the review. They are plain Python without
# dependencies, so this only checks that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
