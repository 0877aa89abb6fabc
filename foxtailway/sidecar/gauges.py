"""Gauges of a sidecar."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foxtailway.sidecar.node import SidecarNode

__all__ = ["read_gauges"]


def read_gauges(node: "SidecarNode") -> dict[str, float]:
    """Return the current values of the gauges by name."""
    configuration = node.dispatcher.configuration
    load = node.runner.report_load()
    calls = node.calls
    return {
        "calls_failed": calls.n_failed_calls if calls else 0,
        "calls_recognized": calls.n_calls if calls else 0,
        "routes_limited": calls.outcomes.count_limited(node.loop.time())
        if calls
        else 0,
        "cold_permits": load.n_cold_permits,
        "warm_in_seconds": load.warm_in_s,
        "crash_suspects": len(node.guard.containment.suspects),
        "crashes": node.runner.crashes.n_crashes,
        "crashes_learnt": node.crashes.n_learnt,
        "quarantines": node.crashes.n_quarantines,
        "requests_quarantined": node.guard.count_quarantined(),
        "configuration_version": configuration.version if configuration else 0,
        "entries_ignored": node.exchange.n_ignored_entries,
        "health_checks": node.cold_starts.n_health_checks,
        "log_lines_dropped": node.log.n_dropped,
        "unexpected_errors": node.log.n_errors,
        "client_connections": len(node.client_listener.connections),
        "connections_closed_for_room": node.account.events.n_closed,
        "memory_bytes": node.account.size,
        "memory_held_bytes": node.account.n_held,
        "memory_refusals": node.account.events.n_refused,
        "responses_dropped": node.account.events.n_dropped,
        "slow_clients_closed": node.account.events.n_evicted,
        "bodies_receiving": node.runner.n_receiving,
        "peers": len(node.peers.links),
        "ready": int(node.is_ready()),
        "responses_held_bytes": node.client_listener.n_held_bytes,
        "response_limit_errors": node.runner.n_limit_errors,
        "slots": node.runner.queue.n_slots,
        "slots_busy": node.runner.queue.n_running,
        "held_refusals": node.runner.queue.n_held_refusals,
        "slot_queue": len(node.runner.queue.waiting),
        "upstream_failure_ratio": node.runner.speeds.speed.failure_ratio,
        "upstream_slowdown": node.runner.speeds.speed.slowdown,
        "upstream_speed_ratio": node.runner.speeds.speed.speed_ratio,
        "store_epoch": node.exchange.epoch,
        "store_restores": node.exchange.n_restores,
        "upstreams": len(node.membership.upstreams),
        "upstreams_degraded": node.selector.count_degraded(),
        "upstreams_lapsed": len(node.membership.expired),
        "upstreams_unsent": node.exchange.n_unsent_upstreams,
        "zone_evacuated": int(node.membership.is_evacuated(node.settings.zone)),
        "zone_shares": node.selector.spill.count_shares(),
        "zones_evacuated": len(node.membership.evacuated_zones),
    }
