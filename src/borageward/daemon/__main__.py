"""Support for ``python -m borageward.daemon``."""

from __future__ import annotations

from borageward.daemon.main import main

if __name__ == '__main__':
    main()
