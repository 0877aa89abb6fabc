"""Loading and validation of the settings file."""

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from foxtailway.config.finding import Defect, Finding, sort_findings
from foxtailway.config.section_parser import format_key
from foxtailway.config.sectioned_document import MAX_DOCUMENT_BYTES, decode_document
from foxtailway.model.bundle import make_document
from foxtailway.settings.model import NodeSettings
from foxtailway.settings.raw_settings import RawSettings
from foxtailway.settings.schema import SECTIONS
from foxtailway.settings.spec import KeySpec, SectionSpec

__all__ = ["load_settings", "parse_settings"]

# Smallest ratio of the silence timeout to the heartbeat interval.
MIN_HEARTBEATS_PER_SILENCE = 2
# Keys of section ``listen``, whose ports must all differ.
PORT_KEYS = ("mesh_port", "client_port", "local_port", "admin_port")


class SettingsChecker:
    """Validator of one settings file, which collects all findings.

    Parameters
    ----------
    raw : RawSettings
        Sections of the file; findings are added to it.
    """

    def __init__(self, *, raw: RawSettings) -> None:
        self.raw = raw
        self.values: dict[str, dict[str, Any]] = {}

    def check(self) -> Result[NodeSettings, tuple[Finding, ...]]:
        """Return the settings, or all findings sorted by line."""
        self.check_unknown_sections()
        for spec in SECTIONS:
            self.check_unknown_keys(spec)
            self.values[spec.name] = {
                key_spec.field: self.read_value(spec.name, key_spec)
                for key_spec in spec.keys
            }
        for section in ("distribution", "calls"):
            self.check_duration_ratio(
                section, "heartbeat", "silence", MIN_HEARTBEATS_PER_SILENCE
            )
        self.check_duration_ratio("distribution", "retry_base", "retry_max", 1)
        self.check_ports()
        if self.raw.findings:
            return Error(sort_findings(self.raw.findings))
        return Ok(self.build())

    def report_defect(self, section: str, key: str, problem: str, allowed: str) -> None:
        """Add a finding at a key, or at the section if `key` is empty."""
        self.raw.report_defect(section, key, Defect(problem=problem, allowed=allowed))

    def check_unknown_sections(self) -> None:
        """Report sections that are not in the schema."""
        names = [spec.name for spec in SECTIONS]
        for name in self.raw.sections:
            if name not in names:
                self.report_defect(name, "", "the section is unknown", ", ".join(names))

    def check_unknown_keys(self, spec: SectionSpec) -> None:
        """Report keys of a section that are not in the schema."""
        section = self.raw.sections.get(spec.name)
        if section is None:
            return
        names = [key_spec.key for key_spec in spec.keys]
        for key, entry in section.entries.items():
            if key not in names:
                defect = Defect(problem="the key is unknown", allowed=", ".join(names))
                self.raw.add_finding(
                    line=entry.line,
                    section=spec.name,
                    key=format_key(key),
                    defect=defect,
                )

    def read_value(self, section: str, spec: KeySpec) -> Any:
        """Return the value of a key or its default; None if a finding was added."""
        entry = self.raw.find_entry(section, spec.key)
        if entry is None and spec.default is None:
            self.report_defect(
                section, spec.key, "the key is required", spec.kind.allowed
            )
            return None
        parsed = spec.kind.parse(spec.default if entry is None else entry.text)
        if parsed.is_error():
            self.raw.report_defect(section, spec.key, parsed.error)
            return None
        return parsed.ok

    def check_duration_ratio(
        self, section: str, shorter: str, longer: str, factor: int
    ) -> None:
        """Report the longer of two durations if it is below `factor` times the other.

        Nothing is checked if one of them is invalid.
        """
        shorter_s = self.values[section][f"{shorter}_s"]
        longer_s = self.values[section][f"{longer}_s"]
        if shorter_s is None or longer_s is None:
            return
        if longer_s < factor * shorter_s:
            allowed = f"at least {factor} times {shorter}"
            self.report_defect(section, longer, "the duration is too short", allowed)

    def check_ports(self) -> None:
        """Report ports that are used twice, by the node or by the local upstream."""
        ports = self.values["listen"]
        keys_by_port: dict[int, str] = {}
        for key in PORT_KEYS:
            port = ports[key]
            first = keys_by_port.setdefault(port, key)
            if port is not None and first != key:
                problem = f"the port is already used by {first}"
                self.report_defect(
                    "listen", key, problem, "a port that no other key has"
                )
        upstream = self.values["upstream"]
        is_same_address = upstream["address"] == self.values["host"]["address"]
        if is_same_address and upstream["port"] in keys_by_port:
            problem = "the port is already used by the node"
            self.report_defect(
                "upstream", "port", problem, "a port that the node does not use"
            )

    def build(self) -> NodeSettings:
        """Return the settings; the file must have no findings."""
        models = {
            spec.name: spec.model(**self.values[spec.name])
            for spec in SECTIONS
            if spec.model is not None
        }
        return NodeSettings(**models, **self.values["observe"])


def parse_settings(
    content: bytes, *, source: str
) -> Result[NodeSettings, tuple[Finding, ...]]:
    """Parse and validate the content of a settings file.

    Parameters
    ----------
    content : bytes
        Content of the file.
    source : str
        Name of the file, for the findings.

    Returns
    -------
    Result
        The settings, or all findings sorted by line.
    """
    decoded = decode_document(make_document(key=source, content=content))
    if decoded.is_error():
        return Error((decoded.error,))
    raw = RawSettings(source=source, text=decoded.ok)
    return SettingsChecker(raw=raw).check()


def load_settings(path: Path | str) -> Result[NodeSettings, tuple[Finding, ...]]:
    """Read, parse and validate a settings file.

    Parameters
    ----------
    path : Path or str
        Path of the file.

    Returns
    -------
    Result
        The settings, or all findings. A file that cannot be read gives a finding
        too, not an exception.
    """
    source = str(path)
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        defect = Defect(
            problem=f"the file cannot be read: {error.strerror}",
            allowed="a readable file",
        )
        finding = Finding(source=source, line=1, section="", key="", defect=defect)
        return Error((finding,))
    return parse_settings(content, source=source)
