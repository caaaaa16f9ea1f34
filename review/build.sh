#!/usr/bin/env bash
# Checks what the scripts of this folder need. The clients, the servers and the
# platform are stand-ins in Python (its standard library only), so there is
# nothing to compile; the entry processes are the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
for file in rig.py */case.py; do
  python3 - "$file" <<'EOF'
import ast
import sys
ast.parse(open(sys.argv[1]).read(), sys.argv[1])
EOF
done
test -x ../target/endivewharf || {
  echo "build.sh: build as deploy/system.toml says first" >&2
  exit 1
}
