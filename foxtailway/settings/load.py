"""Loading and checking of the settings file."""

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from foxtailway.common.finding import Finding
from foxtailway.common.ini import IniDocument, IniSection, read_ini
from foxtailway.settings.model import NodeSettings
from foxtailway.settings.schema import SECTIONS
from foxtailway.settings.spec import KeySpec, SectionSpec

__all__ = ["load_settings", "parse_settings"]

MAX_FILE_SIZE_BYTES = 100_000
MAX_SHOWN_CHARACTERS = 60
PORT_KEYS = ("mesh_port", "client_port", "local_port", "admin_port")


class SettingsChecker:
    """Check one settings file and collect all findings.

    Parameters
    ----------
    document : IniDocument
        Parsed file.
    """

    def __init__(self, *, document: IniDocument) -> None:
        self.document = document
        self.findings = list(document.findings)
        self.values: dict[str, dict[str, Any]] = {}

    def check(self) -> Result[NodeSettings, tuple[Finding, ...]]:
        """Return the settings, or every finding in the order of the lines."""
        self.check_unknown_sections()
        for spec in SECTIONS:
            self.values[spec.name] = self.check_section(spec)
        self.check_order("distribution", "heartbeat", "silence", 2)
        self.check_order("calls", "heartbeat", "silence", 2)
        self.check_order("distribution", "retry_base", "retry_max", 1)
        self.check_ports()
        if self.findings:
            return Error(tuple(sorted(self.findings, key=lambda item: item.line)))
        return Ok(self.build())

    def report(self, section: str, key: str, detail: str) -> None:
        """Add a finding at the line of the key, its section or the file."""
        line = 1
        found = self.document.sections.get(section)
        if found is not None:
            entry = found.entries.get(key)
            line = entry.line if entry is not None else found.line
        self.findings.append(
            Finding(
                source=self.document.source,
                line=line,
                section=section,
                key=key,
                detail=detail,
            )
        )

    def check_unknown_sections(self) -> None:
        """Report sections that are not defined."""
        names = [spec.name for spec in SECTIONS]
        for name in self.document.sections:
            if name not in names:
                allowed = ", ".join(names)
                self.report(name, "", f"unknown section; allowed are {allowed}")

    def check_section(self, spec: SectionSpec) -> dict[str, Any]:
        """Return the values of a section by field."""
        section = self.document.sections.get(spec.name)
        if section is not None:
            self.check_unknown_keys(spec, section)
        return {
            key_spec.field: self.check_key(spec.name, key_spec, section)
            for key_spec in spec.keys
        }

    def check_unknown_keys(self, spec: SectionSpec, section: IniSection) -> None:
        """Report keys that are not defined."""
        names = [key_spec.key for key_spec in spec.keys]
        for key in section.entries:
            if key not in names:
                allowed = ", ".join(names)
                self.report(spec.name, key, f"unknown key; allowed are {allowed}")

    def check_key(
        self, section_name: str, spec: KeySpec, section: IniSection | None
    ) -> Any:
        """Return the value of a key, its default, or None after a finding."""
        entry = section.entries.get(spec.key) if section is not None else None
        if entry is None and spec.default is None:
            allowed = spec.value.describe()
            self.report(section_name, spec.key, f"missing; needed is {allowed}")
            return None
        text = entry.value if entry is not None else spec.default
        value = spec.value.parse(text)
        if value is None:
            shown = repr(text[:MAX_SHOWN_CHARACTERS])
            detail = f"{shown} is not allowed; allowed is {spec.value.describe()}"
            self.report(section_name, spec.key, detail)
        return value

    def check_order(self, section: str, smaller: str, larger: str, factor: int) -> None:
        """Report a duration below `factor` times another one."""
        smaller_s = self.values[section][f"{smaller}_s"]
        larger_s = self.values[section][f"{larger}_s"]
        if smaller_s is None or larger_s is None:
            return
        if larger_s < factor * smaller_s:
            detail = f"too short; allowed is at least {factor} times {smaller}"
            self.report(section, larger, detail)

    def check_ports(self) -> None:
        """Report ports of the host that are used twice."""
        ports = self.values["listen"]
        keys_by_port: dict[int, str] = {}
        for key in PORT_KEYS:
            port = ports[key]
            first = keys_by_port.setdefault(port, key)
            if port is not None and first != key:
                detail = f"same port as {first}; allowed is a port of its own"
                self.report("listen", key, detail)
        upstream = self.values["upstream"]
        is_same_address = upstream["address"] == self.values["host"]["address"]
        if is_same_address and upstream["port"] in keys_by_port:
            detail = "port of the node itself; allowed is another port"
            self.report("upstream", "port", detail)

    def build(self) -> NodeSettings:
        """Return the settings of a file without findings."""
        models = {
            spec.name: spec.model(**self.values[spec.name])
            for spec in SECTIONS
            if spec.model is not None
        }
        return NodeSettings(**models, **self.values["observe"])


def parse_settings(
    content: bytes, *, source: str
) -> Result[NodeSettings, tuple[Finding, ...]]:
    """Check the content of a settings file.

    Parameters
    ----------
    content : bytes
        Content of the file.
    source : str
        Name of the file, for the findings.

    Returns
    -------
    Result
        The settings, or every finding.
    """
    document = read_ini(content, source=source, max_size=MAX_FILE_SIZE_BYTES)
    if not document.sections:
        return Error(document.findings)
    return SettingsChecker(document=document).check()


def load_settings(path: Path | str) -> Result[NodeSettings, tuple[Finding, ...]]:
    """Read and check a settings file.

    Parameters
    ----------
    path : Path or str
        Path of the file.

    Returns
    -------
    Result
        The settings, or every finding; never raises for a bad file.
    """
    source = str(path)
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_FILE_SIZE_BYTES + 1)
    except OSError as error:
        detail = f"can't be read: {error.strerror}; a readable file is needed"
        finding = Finding(source=source, line=1, section="", key="", detail=detail)
        return Error((finding,))
    return parse_settings(content, source=source)
