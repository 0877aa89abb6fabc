"""Reference implementation of the compiler for tests.

It reads and checks all documents in full for each version and reuses nothing, so
that a comparison finds faults of the reuse in `SnapshotCompiler`.
"""

from collections import Counter
from configparser import ConfigParser
from configparser import Error as ConfigParserError

import orjson

from foxtailway.config.resource import make_cluster, make_route
from foxtailway.config.schema import SECTION_RULES
from foxtailway.model import Bundle, Host, HostState, Listener, Secret, Snapshot


class InvalidVersionError(Exception):
    pass


def require(condition: object) -> None:
    if not condition:
        raise InvalidVersionError


def parse_ini(content: bytes) -> ConfigParser:
    require(content.strip())
    for line in content.decode().split("\n"):
        if line.strip().startswith("["):
            require(line.startswith("[") and line.strip().endswith("]"))
    parser = ConfigParser(
        default_section="",
        delimiters=("=",),
        interpolation=None,
        empty_lines_in_values=False,
    )
    parser.optionxform = str
    try:
        parser.read_string(content.decode())
    except ConfigParserError as error:
        raise InvalidVersionError from error
    return parser


def read_value(path: str, text: str):
    kind, _, key = path.partition(".")
    require(key in SECTION_RULES[kind].keys)
    parsed = SECTION_RULES[kind].keys[key].kind.parse(text)
    require(parsed.is_ok())
    return parsed.ok


def read_overlay_rules(section) -> dict:
    rules = {}
    for path, text in section.items():
        kind, _, key = path.partition(".")
        require(kind in SECTION_RULES and key in SECTION_RULES[kind].keys)
        require(SECTION_RULES[kind].keys[key].is_overlayable and ".." in text)
        first, _, last = text.partition("..")
        lowest = read_value(path, first.strip())
        highest = read_value(path, last.strip())
        require(lowest <= highest)
        rules[path] = (lowest, highest)
    return rules


def read_headers(parser: ConfigParser) -> dict:
    headers = {}
    for header in parser.sections():
        if header == "overlays":
            continue
        kind, _, name = header.partition(" ")
        require(kind in SECTION_RULES)
        require(bool(name) == SECTION_RULES[kind].is_named)
        if name:
            require(read_value("mesh.name", name))
        headers[kind, name] = parser[header]
    return headers


def read_base(parser: ConfigParser) -> dict:
    sections = {}
    for (kind, name), section in read_headers(parser).items():
        values = {key: read_value(f"{kind}.{key}", section[key]) for key in section}
        for key, rule in SECTION_RULES[kind].keys.items():
            if key not in values and rule.default is not None:
                values[key] = rule.kind.parse(rule.default).ok
            require(key in values or not rule.is_required)
        sections[kind, name] = values
    require(("mesh", "") in sections)
    require(any(kind == "site" for kind, _ in sections))
    return sections


def merge_overlay(sections: dict, rules: dict, overlay: ConfigParser) -> dict:
    require("overlays" not in overlay)
    merged = dict(sections)
    for (kind, name), section in read_headers(overlay).items():
        require(kind != "site" and (kind, name) in sections)
        values = dict(sections[kind, name])
        for key, text in section.items():
            values[key] = read_value(f"{kind}.{key}", text)
            require(f"{kind}.{key}" in rules)
            lowest, highest = rules[f"{kind}.{key}"]
            require(lowest <= values[key] <= highest)
        merged[kind, name] = values
    return merged


def check_constraints(sections: dict, secrets: dict) -> None:
    accepted: Counter = Counter()
    for (kind, _), values in sections.items():
        if kind == "service":
            require(values["slots"] <= values["connections"])
            require(values.get("secret") in {None, *secrets})
        if kind == "route":
            require(("service", values["cluster"]) in sections)
            is_long = values["idempotency_window"] >= values["timeout"]
            require(values["idempotent"] or is_long)
            accepted.update((values["path"], method) for method in values["methods"])
    require(all(count == 1 for count in accepted.values()))


def read_hosts(bundle: Bundle) -> list[Host]:
    hosts = []
    for document in bundle.documents:
        for line in filter(None, document.content.split(b"\n")):
            try:
                host_id, address, port, service, state = orjson.loads(line)
            except (ValueError, TypeError) as error:
                raise InvalidVersionError from error
            hosts.append(
                Host(
                    host_id=host_id,
                    address=address,
                    mesh_port=port,
                    zone=document.key.partition("/")[2],
                    service=service,
                    state=HostState(state),
                )
            )
    require(len({host.host_id for host in hosts}) == len(hosts))
    return hosts


def compile_naively(*, site: str, config: Bundle, hosts: Bundle) -> Snapshot | None:
    try:
        return compile_all(site, config, hosts)
    except InvalidVersionError:
        return None


def compile_all(site: str, config: Bundle, hosts: Bundle) -> Snapshot:
    contents = {document.key: document.content for document in config.documents}
    parser = parse_ini(contents.get("base", b""))
    sections = read_base(parser)
    rules = read_overlay_rules(parser["overlays"]) if "overlays" in parser else {}
    secrets = {
        key.partition("/")[2]: Secret(name=key.partition("/")[2], value=content)
        for key, content in contents.items()
        if key.startswith("secret/")
    }
    check_constraints(sections, secrets)
    merged = sections
    for key, content in contents.items():
        if key.startswith("overlay/"):
            zone = key.partition("/")[2]
            require(("site", zone) in sections)
            changed = merge_overlay(sections, rules, parse_ini(content))
            check_constraints(changed, secrets)
            merged = changed if zone == site else merged
    require(("site", site) in sections)
    return build_snapshot(site, config, hosts, merged, secrets)


def build_snapshot(
    site: str, config: Bundle, hosts: Bundle, sections: dict, secrets: dict
):
    regions = {
        name: values["region"]
        for (kind, name), values in sections.items()
        if kind == "site"
    }
    configured_hosts = [host for host in read_hosts(hosts) if host.zone in regions]
    clusters = {}
    endpoints = {}
    for (kind, name), values in sections.items():
        live = [
            host
            for host in configured_hosts
            if host.service == name and host.state is HostState.LIVE
        ]
        if kind == "service" and live:
            clusters[name] = make_cluster(name, values)
            endpoints[name] = tuple(live)
    routes = [
        make_route(name, values)
        for (kind, name), values in sections.items()
        if kind == "route"
    ]
    routes.sort(key=lambda route: (route.path_prefix, route.name))
    routes.sort(key=lambda route: -len(route.path_prefix))
    mesh = sections["mesh", ""]
    return Snapshot(
        version=config.version,
        hosts_version=hosts.version,
        site=site,
        listener=Listener(
            max_header_size=mesh["max_header_size"],
            max_body_size=mesh["max_body_size"],
            max_hops=mesh["max_hops"],
        ),
        routes=tuple(route for route in routes if route.cluster in clusters),
        clusters=clusters,
        endpoints=endpoints,
        hosts={host.host_id: host for host in configured_hosts},
        secrets={
            cluster.secret: secrets[cluster.secret]
            for cluster in clusters.values()
            if cluster.secret
        },
        withdrawn_routes=tuple(
            sorted(route.name for route in routes if route.cluster not in clusters)
        ),
        zone_regions=regions,
    )
