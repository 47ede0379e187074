#!/usr/bin/env bash
# Checks what the scripts need: the stand-ins are Python programs and are not
# compiled. The router itself comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py ./*/case.py
rm -rf lib/__pycache__ ./*/__pycache__
