#!/usr/bin/env bash
# The stand-ins are Python files and need no compiler. This checks that each can be
# imported with the packages of the deploy file's build, before a script is run.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:src" PYTHONDONTWRITEBYTECODE=1
python3 -c '
import sassafraswharf_bench.provider.endpoint
import sassafraswharf_bench.provider.fleet
import sassafraswharf_bench.provider.machines
import sassafraswharf_bench.provider.operator
'
for file in review/[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
