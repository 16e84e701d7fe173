#!/bin/sh
# The stand-ins are plain Python and need no build; this only compiles them.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib
for path in (*pathlib.Path('.').glob('*.py'), *pathlib.Path('.').rglob('*/*.py')):
    compile(path.read_text(), str(path), 'exec')
END
