"""Generation of the documentation and example of the settings file.

Run ``python -m foxtailway.settings.page`` in the root of the repository.
"""

from pathlib import Path

from foxtailway.settings.schema import SECTIONS
from foxtailway.settings.spec import KeySpec, SectionSpec

__all__ = ["main", "render_example", "render_page"]

PAGE_HEAD = """# Settings of a node

A node reads one INI file: `foxtailway-node --settings node.ini`. Keys keep their
case, `=` separates a key from its value, `#` and `;` start comment lines, and
indented lines continue a value; a line that starts with `[` is always a header.
The file is checked as a whole before the node starts; every finding is printed as
`FILE:LINE: section.key: what is wrong; allowed: what is allowed`, and the node then
exits with code 2. Unknown and duplicate sections and keys are findings.

Durations are written with their unit (`500ms`, `2s`, `5min`, `1h`), sizes too
(`4000B`, `16KB`, `2MB`; 1 KB is 1,000 bytes). `examples/node.ini` shows every key.

This page and the example are written by `python -m foxtailway.settings.page`.
"""
PAGE_TAIL = """# Settings of a sidecar on the users' platform

The settings file is the platform's (docs/PLATFORM.md); `limits.memory_mb` and
`limits.max_fds` give the memory and the descriptors of the process. These keys are our
own and optional. All are in force within a second of a change, but for
`foxtailway.admission`, which needs a restart.

| Key | Meaning | Unit | Default | Allowed |
| --- | --- | --- | --- | --- |
| `foxtailway.memory_margin` | Share of the memory that is never given to bodies, requests and responses. | none | `0.1` | 0 to below 1 |
| `foxtailway.memory_reserve` | Share of the memory that only short requests and responses may take. | none | `0.0625` | 0 to below 1 |
| `foxtailway.descriptor_reserve` | Share of the descriptors for the store, peers and the upstream; clients may open the rest. | none | `0.25` | 0 to below 1 |
| `foxtailway.min_rate` | Rate below which a body, or the reader of a response, loses its memory or its connection while others need it. | bytes per second | `1000` | 0 (never) and above |
| `foxtailway.min_rate_window` | Time over which the rate is measured. | ms | `5000` | above 0 |
| `foxtailway.admission` | Who gets a slot: by urgency with early refusals, or by priority and due time only (docs/design/admission.md). | none | `urgency` | `urgency`, `due-time` |
| `foxtailway.zone_spill` | Whether requests leave an overloaded zone: always, where a route or a cold limit calls for it, or never (docs/design/zone-spill.md). | none | `on` | `on`, `auto`, `off` |
| `foxtailway.zone_price_per_kb` | Utility lost per kilobyte between zones of a region. | none | `0.00004` | 0 to 1 |
| `foxtailway.region_price_per_kb` | The same between regions. | none | `0.00011` | 0 to 1 |

A body that does not fit into the memory of the host, less margin, reserve and what the
process takes itself (25 to 40 MB), is refused with 503 before it is read, also without
any load. With the defaults and 40 MB, a host of 128 MB takes bodies up to 67 MB.
"""  # noqa: E501 (rows of a table)
EXAMPLE_HEAD = """# Settings of a node. Every key has its default or, where one is
# required, a value for a host of the slot catalogue. docs/SETTINGS.md lists the
# ranges.
"""
# Values in the example that replace the defaults, by ``section.key``.
EXAMPLE_VALUES = {
    "host.host_id": "accra-a-1",
    "host.address": "10.1.1.1",
    "host.zone": "accra-a",
    "host.region": "accra",
    "host.mesh": "pondside",
    "upstream.service": "slot-catalogue",
    "upstream.port": "8000",
    "platform.url": "http://10.1.0.1:8500",
    "platform.store_region": "accra",
    "distribution.seeds": "10.1.1.2:7600 10.1.2.1:7600",
}


def render_page() -> str:
    """Return the Markdown page that documents every key."""
    return "\n".join(
        [PAGE_HEAD, *(render_section(spec) for spec in SECTIONS), PAGE_TAIL]
    )


def render_section(spec: SectionSpec) -> str:
    """Return the Markdown text of one section with its table of keys."""
    lines = [
        f"## `[{spec.name}]`",
        "",
        spec.summary,
        "",
        "| Key | Meaning | Unit | Default | Allowed |",
        "| --- | --- | --- | --- | --- |",
        *(render_row(key_spec) for key_spec in spec.keys),
        "",
    ]
    return "\n".join(lines)


def render_row(spec: KeySpec) -> str:
    """Return the table row of one key."""
    default = "required"
    if spec.default is not None:
        default = f"`{spec.default}`" if spec.default else "empty"
    cells = [
        f"`{spec.key}`",
        spec.summary,
        spec.unit,
        default,
        spec.kind.allowed,
    ]
    return f"| {' | '.join(cells)} |"


def render_example() -> str:
    """Return an example of a settings file that contains every key."""
    lines = [EXAMPLE_HEAD]
    for spec in SECTIONS:
        lines.append(f"[{spec.name}]")
        for key_spec in spec.keys:
            path = f"{spec.name}.{key_spec.key}"
            value = EXAMPLE_VALUES.get(path, key_spec.default)
            lines.append(f"# {key_spec.summary}")
            lines.append(f"{key_spec.key} = {value}")
        lines.append("")
    return "\n".join(lines)


def main() -> None:
    """Write the page and the example, relative to the working directory."""
    Path("docs/SETTINGS.md").write_text(render_page())
    Path("examples/node.ini").write_text(render_example())


if __name__ == "__main__":
    main()
