"""Sections whose keys were checked and whose values were typed."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cache
from typing import Any, NamedTuple

from foxtailway.config.bounds import Bounds, read_bounds
from foxtailway.config.finding import Defect, Finding
from foxtailway.config.relation import find_contradictions
from foxtailway.config.schema import OVERLAYS_KIND, SECTION_RULES, KeyRule
from foxtailway.config.section import RawSection, parse_section, show_key
from foxtailway.config.value_kind import NameKind

__all__ = ["Entry", "Section", "Target", "read_base_section", "read_overlay_section"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """Hold the value of one key.

    Parameters
    ----------
    text : str
        Text of the value.
    value : object
        Typed value.
    line : int
        Line in the section; the header's line for a default.
    """

    text: str
    value: Any
    line: int


class Target(NamedTuple):
    """Name a path prefix and a method that a route accepts."""

    path_prefix: str
    method: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Section:
    """Hold one checked section.

    Parameters
    ----------
    header : str
        Text between the brackets; empty for text without a header.
    kind : str
        First word of the header; empty when it is unknown.
    name : str
        Name in the header; empty when there is none.
    n_lines : int
        Lines of the section.
    entries : Mapping of str to Entry
        Valid values by key.
    targets : tuple of Target
        What a route accepts; empty for other kinds.
    findings : tuple of Finding
        Defects, with lines counted in the section.
    """

    header: str
    kind: str
    name: str
    n_lines: int
    entries: Mapping[str, Entry]
    targets: tuple[Target, ...]
    findings: tuple[Finding, ...]

    @property
    def values(self) -> dict[str, Any]:
        """Return typed values by key."""
        return {key: entry.value for key, entry in self.entries.items()}

    def find_line(self, key: str) -> int:
        """Return the line of `key` in the section, else the header's line."""
        entry = self.entries.get(key)
        return 1 if entry is None else entry.line


@dataclass(slots=True, kw_only=True)
class SectionDraft:
    """Collect entries and findings while a section is read."""

    raw: RawSection
    entries: dict[str, Entry] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)

    def report(self, *, line: int, key: str, problem: str, allowed: str) -> None:
        """Add a finding."""
        defect = Defect(problem=problem, allowed=allowed)
        self.add(line=line, key=key, defect=defect)

    def add(self, *, line: int, key: str, defect: Defect) -> None:
        """Add a finding about a known defect."""
        self.findings.append(
            Finding(
                source="", line=line, section=self.raw.header, key=key, defect=defect
            )
        )

    def finish(self, *, kind: str, name: str, text: str) -> Section:
        """Return the checked section."""
        return Section(
            header=self.raw.header,
            kind=kind,
            name=name,
            n_lines=text.count("\n") + 1,
            entries=self.entries,
            targets=list_targets(self.entries),
            findings=(*self.raw.findings, *self.findings),
        )


def list_targets(entries: Mapping[str, Entry]) -> tuple[Target, ...]:
    """Return what a route accepts, as far as it is known."""
    if "path" not in entries or "methods" not in entries:
        return ()
    path_prefix = entries["path"].value
    methods = sorted(entries["methods"].value)
    return tuple(Target(path_prefix=path_prefix, method=name) for name in methods)


def read_base_section(text: str) -> Section:
    """Parse and check one section of the base file.

    Parameters
    ----------
    text : str
        Text of the section with its header.

    Returns
    -------
    Section
        Section with defaults filled in.
    """
    draft = SectionDraft(raw=parse_section(text))
    if draft.raw.header == OVERLAYS_KIND:
        read_overlay_rules(draft)
        return draft.finish(kind=OVERLAYS_KIND, name="", text=text)
    kind, name = read_header(draft, kinds=(*SECTION_RULES, OVERLAYS_KIND))
    if kind:
        read_entries(draft, SECTION_RULES[kind].keys)
        fill_defaults(draft, kind)
        check_relations(draft, kind)
    return draft.finish(kind=kind, name=name, text=text)


def read_overlay_section(text: str) -> Section:
    """Parse and check one section of an overlay, by itself.

    Parameters
    ----------
    text : str
        Text of the section with its header.

    Returns
    -------
    Section
        Section that holds only the keys that it states.
    """
    draft = SectionDraft(raw=parse_section(text))
    kinds = tuple(kind for kind in SECTION_RULES if kind != "site")
    kind, name = read_header(draft, kinds=kinds)
    if kind:
        read_entries(draft, SECTION_RULES[kind].keys)
    return draft.finish(kind=kind, name=name, text=text)


def read_header(draft: SectionDraft, *, kinds: tuple[str, ...]) -> tuple[str, str]:
    """Return kind and name of a header; the kind is empty when it is invalid."""
    header = draft.raw.header
    if not header:
        return "", ""
    kind, _, name = header.partition(" ")
    if kind not in kinds or kind not in SECTION_RULES:
        draft.report(
            line=1,
            key="",
            problem="the section is unknown",
            allowed=", ".join(describe_header(known) for known in kinds),
        )
        return "", ""
    if SECTION_RULES[kind].is_named:
        parsed = NameKind().parse(name)
        if parsed.is_error():
            draft.add(line=1, key="", defect=parsed.error)
            return "", ""
    elif name:
        draft.report(
            line=1,
            key="",
            problem="the section takes no name",
            allowed=describe_header(kind),
        )
        return "", ""
    return kind, name


def describe_header(kind: str) -> str:
    """Return how the header of a kind of section is written."""
    rule = SECTION_RULES.get(kind)
    return f"[{kind} NAME]" if rule and rule.is_named else f"[{kind}]"


def read_entries(draft: SectionDraft, rules: Mapping[str, KeyRule]) -> None:
    """Type the stated values."""
    for raw in draft.raw.entries:
        rule = rules.get(raw.key)
        if rule is None:
            draft.report(
                line=raw.line,
                key=show_key(raw.key),
                problem="the key is unknown",
                allowed=", ".join(rules),
            )
            continue
        parsed = rule.kind.parse(raw.text)
        if parsed.is_error():
            draft.add(line=raw.line, key=raw.key, defect=parsed.error)
            continue
        draft.entries[raw.key] = Entry(text=raw.text, value=parsed.ok, line=raw.line)


def fill_defaults(draft: SectionDraft, kind: str) -> None:
    """Add defaults and report required keys that are absent."""
    stated = {raw.key for raw in draft.raw.entries}
    for key, entry in list_defaults(kind).items():
        if key not in stated:
            draft.entries[key] = entry
    for key, rule in SECTION_RULES[kind].keys.items():
        if rule.is_required and key not in stated:
            draft.report(
                line=1,
                key=key,
                problem="the key is required",
                allowed=rule.kind.allowed,
            )


@cache
def list_defaults(kind: str) -> dict[str, Entry]:
    """Return the defaults of a kind of section."""
    return {
        key: Entry(text=rule.default, value=rule.kind.parse(rule.default).ok, line=1)
        for key, rule in SECTION_RULES[kind].keys.items()
        if rule.default is not None
    }


def check_relations(draft: SectionDraft, kind: str) -> None:
    """Report values that contradict each other."""
    values = {key: entry.value for key, entry in draft.entries.items()}
    for contradiction in find_contradictions(kind, values):
        key = contradiction.key
        draft.add(line=draft.entries[key].line, key=key, defect=contradiction.defect)


def read_overlay_rules(draft: SectionDraft) -> None:
    """Type the section that says what overlays may change."""
    for raw in draft.raw.entries:
        parsed = read_bounds(key=raw.key, text=raw.text)
        if parsed.is_error():
            draft.add(line=raw.line, key=show_key(raw.key), defect=parsed.error)
            continue
        bounds: Bounds = parsed.ok
        draft.entries[raw.key] = Entry(text=raw.text, value=bounds, line=raw.line)
