"""Entry point of the sidecar process."""

import sys
from importlib import import_module

# All connections are plain TCP. If this module is absent, asyncio does not load its TLS
# support, which saves 4 MB of memory per process.
sys.modules["ssl"] = None
main = import_module("foxtailway.platform.main").main

if __name__ == "__main__":
    sys.exit(main())
