"""Entry point of the sidecar process."""

import sys
from importlib import import_module

# All connections are plain TCP. Without this module asyncio leaves out its
# support of TLS, which takes 4 MB of each process.
sys.modules["ssl"] = None
main = import_module("foxtailway.platform.main").main

if __name__ == "__main__":
    sys.exit(main())
