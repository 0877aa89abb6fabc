"""Settings, hosts and bundles for tests."""

from foxtailway.model.bundle import Bundle, BundleKind, make_bundle, make_document
from foxtailway.model.host import Host, HostState
from foxtailway.settings.model import (
    CallSettings,
    DistributionSettings,
    HostSettings,
    ListenSettings,
    NodeSettings,
    PlatformSettings,
    SeedAddress,
    UpstreamSettings,
)

MESH = "pondside"


def make_settings(
    host_id: str,
    *,
    address: str = "127.0.0.1",
    mesh_port: int = 7000,
    zone: str = "accra-a",
    region: str = "accra",
    seeds: tuple[SeedAddress, ...] = (),
    **changes: object,
) -> NodeSettings:
    distribution_settings = {
        "seeds": seeds,
        "fan_out": 4,
        "n_readers": 2,
        "n_gateways": 2,
        "n_heads": 2,
        "heartbeat_s": 1.0,
        "silence_s": 3.0,
        "stale_s": 12.0,
        "bootstrap_timeout_s": 2.0,
        "n_bootstrap_peers": 3,
        "retry_base_s": 0.1,
        "retry_max_s": 5.0,
        "connect_timeout_s": 1.0,
        "hosts_coalesce_s": 0.5,
        **changes,
    }
    return NodeSettings(
        host=HostSettings(
            host_id=host_id, address=address, zone=zone, region=region, mesh=MESH
        ),
        listen=ListenSettings(
            mesh_port=mesh_port, client_port=0, local_port=0, admin_port=0
        ),
        upstream=UpstreamSettings(
            service="slots", address=address, port=8000, connect_timeout_s=1.0
        ),
        platform=PlatformSettings(
            url="http://127.0.0.1:9000",
            store_region="accra",
            watch_s=10.0,
            timeout_s=2.0,
            calls_per_s=100.0,
        ),
        distribution=DistributionSettings(**distribution_settings),
        calls=CallSettings(
            connect_timeout_s=1.0,
            heartbeat_s=1.0,
            silence_s=3.0,
            stop_timeout_s=5.0,
            max_in_flight=100,
            max_message_size=4_194_304,
        ),
        log_level="INFO",
        audit_size=100,
    )


def make_host(
    host_id: str, *, zone: str = "accra-a", address: str = "127.0.0.1", port: int = 7000
) -> Host:
    return Host(
        host_id=host_id,
        address=address,
        mesh_port=port,
        zone=zone,
        service="slots",
        state=HostState.LIVE,
    )


def make_config(revision: int, *, generation: int = 1, text: str = "") -> Bundle:
    base = f"[mesh]\nrevision = {revision}\n{text}".encode()
    return make_bundle(
        kind=BundleKind.CONFIG,
        generation=generation,
        revision=revision,
        documents=(
            make_document(key="base", content=base),
            make_document(key="overlay/accra-a", content=b"[site]\n" + base),
            make_document(key="overlay/accra-b", content=b"[site]\n"),
        ),
    )


def make_host_list(revision: int) -> Bundle:
    content = f"hosts {revision}\n".encode()
    return make_bundle(
        kind=BundleKind.HOSTS,
        generation=1,
        revision=revision,
        documents=(make_document(key="hosts/accra-a", content=content),),
    )
