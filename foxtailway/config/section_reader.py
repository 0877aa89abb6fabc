"""Checks of single sections: headers, keys, values and their relations."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cache

from foxtailway.config.bounds import Bounds, read_bounds
from foxtailway.config.finding import Defect, Finding
from foxtailway.config.relation import find_contradictions
from foxtailway.config.schema import OVERLAYS_KIND, SECTION_RULES, KeyRule
from foxtailway.config.section_parser import RawSection, SectionParser, show_key
from foxtailway.config.typed_section import Entry, Section, Target
from foxtailway.config.value_kind import NameKind

__all__ = ["BaseSectionReader", "OverlaySectionReader", "SectionReader"]


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


class SectionReader(ABC):
    """Parse and check the sections of one document.

    Attributes
    ----------
    kinds : tuple of str
        Kinds of sections that the document may hold.
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
        """
        draft = SectionDraft(raw=self.parser.parse(text))
        kind, name = read_header(draft, kinds=self.kinds)
        if kind:
            self.read_body(draft, kind)
        return draft.finish(kind=kind, name=name, text=text)

    @abstractmethod
    def read_body(self, draft: SectionDraft, kind: str) -> None:
        """Type the values of a section of a known kind."""


class BaseSectionReader(SectionReader):
    """Read sections of the base file and fill in defaults."""

    kinds = (*SECTION_RULES, OVERLAYS_KIND)

    def read_body(self, draft: SectionDraft, kind: str) -> None:
        """Type values, add defaults and check relations."""
        if kind == OVERLAYS_KIND:
            read_overlay_rules(draft)
            return
        read_entries(draft, SECTION_RULES[kind].keys)
        fill_defaults(draft, kind)
        check_relations(draft, kind)


class OverlaySectionReader(SectionReader):
    """Read sections of an overlay, which hold only the keys that they state."""

    kinds = tuple(kind for kind in SECTION_RULES if kind != "site")

    def read_body(self, draft: SectionDraft, kind: str) -> None:
        """Type the stated values."""
        read_entries(draft, SECTION_RULES[kind].keys)


def read_header(draft: SectionDraft, *, kinds: tuple[str, ...]) -> tuple[str, str]:
    """Return kind and name of a header; the kind is empty when it is invalid."""
    header = draft.raw.header
    if not header:
        return "", ""
    kind, _, name = header.partition(" ")
    if kind not in kinds:
        draft.report(
            line=1,
            key="",
            problem="the section is unknown",
            allowed=", ".join(describe_header(known) for known in kinds),
        )
        return "", ""
    if is_named(kind):
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


def is_named(kind: str) -> bool:
    """Return whether the header of a kind of section carries a name."""
    return kind != OVERLAYS_KIND and SECTION_RULES[kind].is_named


def describe_header(kind: str) -> str:
    """Return how the header of a kind of section is written."""
    return f"[{kind} NAME]" if is_named(kind) else f"[{kind}]"


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
