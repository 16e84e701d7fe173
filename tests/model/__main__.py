"""Play many seeds: ``python -m tests.model FIRST COUNT [--trace]``."""

from __future__ import annotations

import argparse
import sys
import time

from tests.model.world import run_seed


def _show(text):
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def main():
    """Print the seeds with breaches; return 1 if there are any."""
    parser = argparse.ArgumentParser(prog='python -m tests.model')
    parser.add_argument('first', type=int)
    parser.add_argument('count', type=int)
    parser.add_argument('--trace', action='store_true')
    parser.add_argument('--no-late-notices', action='store_true')
    parser.add_argument('--extra', action='store_true')
    options = parser.parse_args()
    began = time.monotonic()
    failed = []
    starts = 0
    for seed in range(options.first, options.first + options.count):
        result = run_seed(
            seed,
            late_notices=not options.no_late_notices,
            extra=options.extra,
        )
        starts += result.starts
        if result.breaches:
            failed.append(seed)
            _show(f'seed {seed}: {len(result.breaches)} breaches')
            if options.trace:
                _show(result.breaches[0])
    took_s = time.monotonic() - began
    _show(f'{options.count} seeds, {starts} runs, {took_s:.1f} s')
    _show(f'{len(failed)} with breaches: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
