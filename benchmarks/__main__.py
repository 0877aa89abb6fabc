"""Run every benchmark and print one JSON object for each measure."""

from importlib import import_module
from pkgutil import iter_modules

import benchmarks


def main() -> None:
    """Run the modules of this folder in the order of their names."""
    for module in iter_modules(benchmarks.__path__):
        if module.name != "__main__":
            import_module(f"benchmarks.{module.name}").main()


if __name__ == "__main__":
    main()
