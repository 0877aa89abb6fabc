"""Validation of single sections: headers, keys, values and constraints."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cache

from foxtailway.config.bounds import Bounds, read_bounds
from foxtailway.config.constraint import find_violations
from foxtailway.config.finding import Defect, Finding
from foxtailway.config.schema import OVERLAYS_KIND, SECTION_RULES, KeyRule
from foxtailway.config.section_parser import RawSection, SectionParser, format_key
from foxtailway.config.typed_section import Entry, RouteMatch, Section
from foxtailway.config.value_kind import NameKind

__all__ = ["BaseSectionReader", "OverlaySectionReader", "SectionReader"]


@dataclass(slots=True, kw_only=True)
class SectionBuilder:
    """Builder of a `Section`: collects entries and findings."""

    raw: RawSection
    entries: dict[str, Entry] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)

    def report_defect(self, *, line: int, key: str, problem: str, allowed: str) -> None:
        """Add a finding about a new defect."""
        defect = Defect(problem=problem, allowed=allowed)
        self.add_finding(line=line, key=key, defect=defect)

    def add_finding(self, *, line: int, key: str, defect: Defect) -> None:
        """Add a finding about a given defect."""
        self.findings.append(
            Finding(
                source="", line=line, section=self.raw.header, key=key, defect=defect
            )
        )

    def build(self, *, kind: str, name: str, text: str) -> Section:
        """Return the checked section."""
        return Section(
            header=self.raw.header,
            kind=kind,
            name=name,
            n_lines=text.count("\n") + 1,
            entries=self.entries,
            route_matches=list_route_matches(self.entries),
            findings=(*self.raw.findings, *self.findings),
        )


def list_route_matches(entries: Mapping[str, Entry]) -> tuple[RouteMatch, ...]:
    """Return the requests that a route matches; empty without path or methods."""
    if "path" not in entries or "methods" not in entries:
        return ()
    path_prefix = entries["path"].value
    methods = sorted(entries["methods"].value)
    return tuple(RouteMatch(path_prefix=path_prefix, method=name) for name in methods)


class SectionReader(ABC):
    """Base class of the readers of the sections of one kind of document.

    Attributes
    ----------
    kinds : tuple of str
        Kinds of sections that the document may have.
    """

    kinds: tuple[str, ...]

    def __init__(self) -> None:
        self.parser = SectionParser()

    def read(self, text: str) -> Section:
        """Return the checked section.

        Parameters
        ----------
        text : str
            Text of the section with its header.

        Returns
        -------
        Section
            Section with its findings; its kind is empty if the header is invalid.
        """
        builder = SectionBuilder(raw=self.parser.parse(text))
        kind, name = read_header(builder, kinds=self.kinds)
        if kind:
            self.read_body(builder, kind)
        return builder.build(kind=kind, name=name, text=text)

    @abstractmethod
    def read_body(self, builder: SectionBuilder, kind: str) -> None:
        """Parse the values of a section with a valid header."""


class BaseSectionReader(SectionReader):
    """Reader of sections of the base file, which adds defaults."""

    kinds = (*SECTION_RULES, OVERLAYS_KIND)

    def read_body(self, builder: SectionBuilder, kind: str) -> None:
        """Parse the values, add defaults and check constraints."""
        if kind == OVERLAYS_KIND:
            read_overlay_rules(builder)
            return
        read_entries(builder, SECTION_RULES[kind].keys)
        fill_defaults(builder, kind)
        check_constraints(builder, kind)


class OverlaySectionReader(SectionReader):
    """Reader of sections of an overlay, which has neither defaults nor sites."""

    kinds = tuple(kind for kind in SECTION_RULES if kind != "site")

    def read_body(self, builder: SectionBuilder, kind: str) -> None:
        """Parse the values of the keys that are present."""
        read_entries(builder, SECTION_RULES[kind].keys)


def read_header(builder: SectionBuilder, *, kinds: tuple[str, ...]) -> tuple[str, str]:
    """Return kind and name of a header; both are empty if the header is invalid."""
    header = builder.raw.header
    if not header:
        return "", ""
    kind, _, name = header.partition(" ")
    if kind not in kinds:
        builder.report_defect(
            line=1,
            key="",
            problem="the section is unknown",
            allowed=", ".join(describe_header(known) for known in kinds),
        )
        return "", ""
    if is_named(kind):
        parsed = NameKind().parse(name)
        if parsed.is_error():
            builder.add_finding(line=1, key="", defect=parsed.error)
            return "", ""
    elif name:
        builder.report_defect(
            line=1,
            key="",
            problem="a section of this kind has no name",
            allowed=describe_header(kind),
        )
        return "", ""
    return kind, name


def is_named(kind: str) -> bool:
    """Return whether the header of a kind of section has a name."""
    return kind != OVERLAYS_KIND and SECTION_RULES[kind].is_named


def describe_header(kind: str) -> str:
    """Return how the header of a kind of section is written."""
    return f"[{kind} NAME]" if is_named(kind) else f"[{kind}]"


def read_entries(builder: SectionBuilder, rules: Mapping[str, KeyRule]) -> None:
    """Parse the values of the keys that are present."""
    for raw in builder.raw.entries:
        rule = rules.get(raw.key)
        if rule is None:
            builder.report_defect(
                line=raw.line,
                key=format_key(raw.key),
                problem="the key is unknown",
                allowed=", ".join(rules),
            )
            continue
        parsed = rule.kind.parse(raw.text)
        if parsed.is_error():
            builder.add_finding(line=raw.line, key=raw.key, defect=parsed.error)
            continue
        builder.entries[raw.key] = Entry(text=raw.text, value=parsed.ok, line=raw.line)


def fill_defaults(builder: SectionBuilder, kind: str) -> None:
    """Add the defaults of absent keys and report required keys that are absent."""
    present_keys = {raw.key for raw in builder.raw.entries}
    for key, entry in list_defaults(kind).items():
        if key not in present_keys:
            builder.entries[key] = entry
    for key, rule in SECTION_RULES[kind].keys.items():
        if rule.is_required and key not in present_keys:
            builder.report_defect(
                line=1,
                key=key,
                problem="the key is required",
                allowed=rule.kind.allowed,
            )


@cache
def list_defaults(kind: str) -> dict[str, Entry]:
    """Return the defaults of a kind of section by key."""
    return {
        key: Entry(text=rule.default, value=rule.kind.parse(rule.default).ok, line=1)
        for key, rule in SECTION_RULES[kind].keys.items()
        if rule.default is not None
    }


def check_constraints(builder: SectionBuilder, kind: str) -> None:
    """Report values that violate a constraint between keys."""
    values = {key: entry.value for key, entry in builder.entries.items()}
    for violation in find_violations(kind, values):
        key = violation.key
        builder.add_finding(
            line=builder.entries[key].line, key=key, defect=violation.defect
        )


def read_overlay_rules(builder: SectionBuilder) -> None:
    """Parse the section with the keys that overlays may change."""
    for raw in builder.raw.entries:
        parsed = read_bounds(key=raw.key, text=raw.text)
        if parsed.is_error():
            builder.add_finding(
                line=raw.line, key=format_key(raw.key), defect=parsed.error
            )
            continue
        bounds: Bounds = parsed.ok
        builder.entries[raw.key] = Entry(text=raw.text, value=bounds, line=raw.line)
