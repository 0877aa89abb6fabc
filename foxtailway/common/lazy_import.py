"""Lazy import of the public names of a package."""

from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any

__all__ = ["make_getattr"]


def make_getattr(package: str, module_by_name: Mapping[str, str]) -> Callable:
    """Return a package's ``__getattr__``, which imports names on first access.

    Parameters
    ----------
    package : str
        Name of the package.
    module_by_name : Mapping of str to str
        Module that defines each public name.

    Returns
    -------
    callable
        Function from a name to the object; raises AttributeError for a name
        that is not in `module_by_name`.

    References
    ----------
    PEP 562.
    """

    def load(name: str) -> Any:
        module_name = module_by_name.get(name)
        if module_name is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(module_name), name)

    return load
