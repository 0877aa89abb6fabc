"""Settings file of the sidecar on the platform."""

from collections.abc import Mapping

from foxtailway.platform.quantity import parse_milliseconds, parse_seconds
from foxtailway.sidecar.memory_account import AccountLimits
from foxtailway.sidecar.settings import Endpoint, SidecarSettings
from foxtailway.traffic.reader_roles import HostCapacity
from foxtailway.traffic.registry_access import DEFAULT_HEARTBEAT_S
from foxtailway.traffic.zone_spill import ZoneSpillSettings

__all__ = ["SettingsError", "read_settings"]

ZONE_PREFIX = "zones."
BYTES_PER_MEGABYTE = 1_000_000
# Share of the memory that one response of the upstream may take. It is held several
# times at once: as parts, as a whole and as a message to a peer.
RESPONSE_MEMORY_SHARE = 1 / 32
# Share of the memory that all responses may take that are received at a time.
BUFFERED_MEMORY_SHARE = 1 / 8
# Descriptors of a process if the settings do not limit them; the usual default of
# the operating system.
DEFAULT_N_DESCRIPTORS = 1_024
# Values of the setting `foxtailway.admission`: whether slots are given by urgency, with
# early refusals, or by priority and due time only.
ADMISSION_MODES = {"urgency": True, "due-time": False}
DEFAULT_ADMISSION = "urgency"
DEFAULT_LIMITS = AccountLimits()
# Settings of the memory account that are shares, by field.
ACCOUNT_SHARES = {
    "memory_margin": "foxtailway.memory_margin",
    "memory_reserve": "foxtailway.memory_reserve",
    "descriptor_reserve": "foxtailway.descriptor_reserve",
}
MIN_RATE = "foxtailway.min_rate"
MIN_RATE_WINDOW = "foxtailway.min_rate_window"
ZONE_SPILL_MODES = frozenset({"auto", "on", "off"})


class SettingsError(Exception):
    """Raised if a settings file cannot be read or is invalid.

    Parameters
    ----------
    path : str
        Path of the settings file.
    detail : str
        Description of the error.
    """

    def __init__(self, *, path: str, detail: str) -> None:
        super().__init__(f"settings {path}: {detail}")
        self.path = path
        self.detail = detail


def read_settings(path: str) -> SidecarSettings:
    """Return the settings in the file at `path`, or raise `SettingsError`."""
    try:
        with open(path, encoding="utf-8") as stream:
            return build_settings(parse_lines(stream.read()))
    except (OSError, ValueError, KeyError) as error:
        raise SettingsError(path=path, detail=repr(error)) from error


def parse_lines(text: str) -> dict[str, str]:
    r"""Return the values of lines such as ``a.b=value`` by name.

    Examples
    --------
    >>> parse_lines("a.b=1\nc=x=y")
    {'a.b': '1', 'c': 'x=y'}
    """
    fields = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    return fields


def build_settings(fields: Mapping[str, str]) -> SidecarSettings:
    """Return the settings for the fields of a settings file."""
    zone_regions = {
        name.removeprefix(ZONE_PREFIX): value
        for name, value in fields.items()
        if name.startswith(ZONE_PREFIX)
    }
    heartbeat = fields.get("heartbeat")
    memory_size = int(fields["limits.memory_mb"]) * BYTES_PER_MEGABYTE
    return SidecarSettings(
        host_id=fields["node_name"],
        zone=fields["zone"],
        service=fields["service"],
        zone_regions=zone_regions,
        client_listener=parse_endpoint(fields["listen_addrs.outbound"]),
        peer_listener=parse_endpoint(fields["listen_addrs.inbound"]),
        ready_listener=parse_endpoint(fields["listen_addrs.ready"]),
        upstream=parse_endpoint(fields["app_addr"]),
        store=parse_endpoint(fields["platform.address"]),
        capacity=HostCapacity(
            link_mbps=float(fields["limits.link_mbps"]),
            n_cores=float(fields["limits.cpu_share"])
            * float(fields["limits.cpu_cores"]),
        ),
        apply_s=parse_milliseconds(int(fields["bounds.config_apply"])),
        grace_s=parse_seconds(fields["bounds.grace"]),
        retry_ratio=float(fields["bounds.retry_budget_ratio"]),
        retry_slack=float(fields["bounds.retry_budget_slack"]),
        retry_window_s=parse_seconds(fields["bounds.retry_window"]),
        heartbeat_s=DEFAULT_HEARTBEAT_S
        if heartbeat is None
        else parse_milliseconds(int(heartbeat)),
        max_response_size=int(memory_size * RESPONSE_MEMORY_SHARE),
        max_buffered_size=int(memory_size * BUFFERED_MEMORY_SHARE),
        memory_size=memory_size,
        max_n_descriptors=int(fields.get("limits.max_fds", DEFAULT_N_DESCRIPTORS)),
        cold_overage=float(fields.get("bounds.cold_overage", 1.0)),
        cold_slack=float(fields.get("bounds.cold_slack", 0.0)),
        has_evacuations="bounds.evacuate" in fields,
        is_urgent_first=ADMISSION_MODES[
            fields.get("foxtailway.admission", DEFAULT_ADMISSION)
        ],
        zone_spill=parse_zone_spill(fields),
        is_first_start=fields.get("bootstrap") == "true",
        **read_account_settings(fields),
    )


def read_account_settings(fields: Mapping[str, str]) -> dict[str, float]:
    """Return the settings of the memory account, which are names of our own."""
    values = {}
    for field, name in ACCOUNT_SHARES.items():
        values[field] = float(fields.get(name, getattr(DEFAULT_LIMITS, field)))
        if not 0 <= values[field] < 1:
            raise ValueError(f"{name} must be at least 0 and below 1")
    values["min_rate"] = float(fields.get(MIN_RATE, DEFAULT_LIMITS.min_rate))
    values["min_rate_window_s"] = (
        parse_milliseconds(int(fields[MIN_RATE_WINDOW]))
        if MIN_RATE_WINDOW in fields
        else DEFAULT_LIMITS.min_rate_window_s
    )
    if not values["min_rate"] >= 0 or not values["min_rate_window_s"] > 0:
        raise ValueError(f"{MIN_RATE} and {MIN_RATE_WINDOW} must not be negative or 0")
    return values


def parse_zone_spill(fields: Mapping[str, str]) -> ZoneSpillSettings:
    """Return the settings of the spill-over between zones."""
    defaults = ZoneSpillSettings()
    mode = fields.get("foxtailway.zone_spill", defaults.mode)
    near_price = float(fields.get("foxtailway.zone_price_per_kb", defaults.near_price))
    far_price = float(fields.get("foxtailway.region_price_per_kb", defaults.far_price))
    if mode not in ZONE_SPILL_MODES:
        raise ValueError(f"foxtailway.zone_spill must be auto, on or off: {mode!r}")
    if not (0.0 <= near_price <= 1.0 and 0.0 <= far_price <= 1.0):
        raise ValueError("a price per kilobyte must be from 0 to 1")
    return ZoneSpillSettings(mode=mode, near_price=near_price, far_price=far_price)


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint written as ``address:port``."""
    address, _, port = text.rpartition(":")
    if not address:
        raise ValueError(f"endpoint must have the form address:port: {text!r}")
    return Endpoint(address=address, port=int(port))
