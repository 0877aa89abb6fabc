"""Run every benchmark and print one JSON object for each measurement."""

from importlib import import_module
from pkgutil import iter_modules

import benchmarks


def main() -> None:
    """Run the modules that define ``main``, in alphabetical order."""
    for info in iter_modules(benchmarks.__path__):
        if info.name == "__main__":
            continue
        module = import_module(f"benchmarks.{info.name}")
        if hasattr(module, "main"):
            module.main()


if __name__ == "__main__":
    main()
