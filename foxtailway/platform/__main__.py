"""Entry point of the sidecar process."""

import signal
import sys
from importlib import import_module

# Changed settings may be announced while the modules are loaded, which takes up to a
# second. The signal would end the process; the settings are read afterwards anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# All connections are plain TCP. If this module is absent, asyncio does not load its TLS
# support, which saves 4 MB of memory per process.
sys.modules["ssl"] = None
main = import_module("foxtailway.platform.main").main

if __name__ == "__main__":
    sys.exit(main())
