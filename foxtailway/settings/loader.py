"""Loading and checking of the settings file."""

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from foxtailway.config.finding import Defect, Finding, sort_findings
from foxtailway.config.section_parser import show_key
from foxtailway.config.sectioned_document import MAX_DOCUMENT_BYTES, decode_document
from foxtailway.model.bundle import make_document
from foxtailway.settings.draft import SettingsDraft
from foxtailway.settings.model import NodeSettings
from foxtailway.settings.schema import SECTIONS
from foxtailway.settings.spec import KeySpec, SectionSpec

__all__ = ["load_settings", "parse_settings"]

N_HEARTBEATS_OF_SILENCE = 2
PORT_KEYS = ("mesh_port", "client_port", "local_port", "admin_port")


class SettingsChecker:
    """Check one settings file and collect all findings.

    Parameters
    ----------
    draft : SettingsDraft
        Sections of the file.
    """

    def __init__(self, *, draft: SettingsDraft) -> None:
        self.draft = draft
        self.values: dict[str, dict[str, Any]] = {}

    def check(self) -> Result[NodeSettings, tuple[Finding, ...]]:
        """Return the settings, or every finding in the order of the lines."""
        self.check_unknown_sections()
        for spec in SECTIONS:
            self.check_unknown_keys(spec)
            self.values[spec.name] = {
                key_spec.field: self.read_value(spec.name, key_spec)
                for key_spec in spec.keys
            }
        for section in ("distribution", "calls"):
            self.check_order(section, "heartbeat", "silence", N_HEARTBEATS_OF_SILENCE)
        self.check_order("distribution", "retry_base", "retry_max", 1)
        self.check_ports()
        if self.draft.findings:
            return Error(sort_findings(self.draft.findings))
        return Ok(self.build())

    def report(self, section: str, key: str, problem: str, allowed: str) -> None:
        """Add a finding."""
        self.draft.report(section, key, Defect(problem=problem, allowed=allowed))

    def check_unknown_sections(self) -> None:
        """Report sections that are not defined."""
        names = [spec.name for spec in SECTIONS]
        for name in self.draft.sections:
            if name not in names:
                self.report(name, "", "the section is unknown", ", ".join(names))

    def check_unknown_keys(self, spec: SectionSpec) -> None:
        """Report keys that are not defined."""
        section = self.draft.sections.get(spec.name)
        if section is None:
            return
        names = [key_spec.key for key_spec in spec.keys]
        for key, entry in section.entries.items():
            if key not in names:
                defect = Defect(problem="the key is unknown", allowed=", ".join(names))
                self.draft.add(
                    line=entry.line,
                    section=spec.name,
                    key=show_key(key),
                    defect=defect,
                )

    def read_value(self, section: str, spec: KeySpec) -> Any:
        """Return the value of a key, its default, or None after a finding."""
        entry = self.draft.find(section, spec.key)
        if entry is None and spec.default is None:
            self.report(section, spec.key, "the key is required", spec.kind.allowed)
            return None
        parsed = spec.kind.parse(spec.default if entry is None else entry.text)
        if parsed.is_error():
            self.draft.report(section, spec.key, parsed.error)
            return None
        return parsed.ok

    def check_order(self, section: str, smaller: str, larger: str, factor: int) -> None:
        """Report a duration below `factor` times another one."""
        smaller_s = self.values[section][f"{smaller}_s"]
        larger_s = self.values[section][f"{larger}_s"]
        if smaller_s is None or larger_s is None:
            return
        if larger_s < factor * smaller_s:
            allowed = f"at least {factor} times {smaller}"
            self.report(section, larger, "the duration is too short", allowed)

    def check_ports(self) -> None:
        """Report ports of the host that are used twice."""
        ports = self.values["listen"]
        keys_by_port: dict[int, str] = {}
        for key in PORT_KEYS:
            port = ports[key]
            first = keys_by_port.setdefault(port, key)
            if port is not None and first != key:
                problem = f"the port is the one of {first}"
                self.report("listen", key, problem, "a port of its own")
        upstream = self.values["upstream"]
        is_same_address = upstream["address"] == self.values["host"]["address"]
        if is_same_address and upstream["port"] in keys_by_port:
            problem = "the port is one of the node's"
            self.report("upstream", "port", problem, "another port")

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
    decoded = decode_document(make_document(key=source, content=content))
    if decoded.is_error():
        return Error((decoded.error,))
    draft = SettingsDraft(source=source, text=decoded.ok)
    return SettingsChecker(draft=draft).check()


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
            content = file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        defect = Defect(
            problem=f"the file can't be read: {error.strerror}",
            allowed="a readable file",
        )
        finding = Finding(source=source, line=1, section="", key="", defect=defect)
        return Error((finding,))
    return parse_settings(content, source=source)
