#!/usr/bin/env bash
# The stand-ins are plain Python and need no build; this compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5]
