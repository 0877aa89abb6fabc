"""Store keys, paths and header names of the platform."""

from foxtailway.sidecar.http_message import HeaderNames

__all__ = [
    "CONFIG_KEY",
    "EVACUATION_PREFIX",
    "HEADER_NAMES",
    "READY_PATH",
    "STORE_EPOCH_HEADER",
    "UPSTREAM_PREFIX",
]

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"
READY_PATH = "/v1/ready"
# Lower-case name of the header of all responses of the store.
STORE_EPOCH_HEADER = b"store-era"

HEADER_NAMES = HeaderNames(
    request_id=b"attempt-id",
    remaining_ms=b"deadline-remaining",
    seal=b"response-seal",
    expected_upstream=b"expect-instance",
    upstream_id=b"instance-id",
    not_run=b"not-executed",
    caller=b"caller-service",
    warm_in_ms=b"cold-remaining",
)
