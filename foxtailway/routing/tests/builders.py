from foxtailway.model import Cluster, Host, HostState, Route


def make_route(
    path_prefix: str, *methods: str, name: str = "route", n_retries: int = 2
) -> Route:
    return Route(
        name=name,
        path_prefix=path_prefix,
        methods=frozenset(methods or ("GET",)),
        cluster="slots",
        is_idempotent=True,
        timeout_s=1.0,
        n_retries=n_retries,
        priority=0,
        idempotency_window_s=60.0,
    )


def make_cluster(**overrides: object) -> Cluster:
    values = dict(
        name="slots",
        n_slots=10,
        n_connections=100,
        n_queued=10,
        queue_timeout_s=0.1,
        retry_ratio=0.1,
        max_ejected_ratio=0.5,
        slow_start_s=10.0,
        n_crash_hosts=2,
        quarantine_s=30.0,
        secret=None,
    )
    return Cluster(**(values | overrides))


def make_host(host_id: str, *, zone: str = "accra-a", mesh_port: int = 7000) -> Host:
    return Host(
        host_id=host_id,
        address="127.0.0.1",
        mesh_port=mesh_port,
        zone=zone,
        service="slots",
        state=HostState.LIVE,
    )
