"""Generated configuration of a deployment, with a chosen path_hash of routes."""

from dataclasses import dataclass
from zlib import crc32

from foxtailway.testing.deployment import Deployment

__all__ = ["SampleConfiguration"]

# Shortest timeout of a route; the overlays of the base file allow 100 ms to 10 s.
MIN_TIMEOUT_MS = 500
# Number of different timeouts, in steps of 1 ms: 500 ms to 4500 ms.
N_TIMEOUTS = 4_001


@dataclass(frozen=True, slots=True, kw_only=True)
class SampleConfiguration:
    """Base file, overlays and secrets for the services of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Layout of the hosts.
    n_routes : int, default=4
        Routes for each service; the first one matches ``/SERVICE/0``.
    """

    deployment: Deployment
    n_routes: int = 4

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services of the deployment."""
        return tuple(dict.fromkeys(host.service for host in self.deployment.hosts))

    @property
    def zone_regions(self) -> dict[str, str]:
        """Return the region of each availability zone."""
        return {host.zone: host.region for host in self.deployment.hosts}

    def render_base(self, *, generation: int = 1, max_hops: int = 16) -> bytes:
        """Return the base file.

        Parameters
        ----------
        generation : int, default=1
            Generation of the configuration.
        max_hops : int, default=16
            Hop limit of a request.
        """
        sections = [
            f"[mesh]\nname = {self.deployment.mesh}\ngeneration = {generation}\n"
            f"max_hops = {max_hops}\n",
            "[overlays]\nroute.timeout = 100ms .. 10s\n",
        ]
        sections += [
            f"[site {zone}]\nregion = {region}\n"
            for zone, region in self.zone_regions.items()
        ]
        for service in self.services:
            sections.append(self.render_service(service))
        return "\n".join(sections).encode()

    def render_service(self, service: str) -> str:
        """Return the INI sections of a service and of its routes."""
        sections = [
            f"[service {service}]\nslots = 10\nconnections = 100\n"
            f"secret = {service}-token\n"
        ]
        for index in range(self.n_routes):
            path_hash = crc32(f"{service}-{index}".encode())
            last_segment = f"{index}-{path_hash:08x}" if index else "0"
            sections.append(
                f"[route {service}-{index}]\npath = /{service}/{last_segment}\n"
                f"methods = GET\ncluster = {service}\nidempotent = yes\n"
                f"timeout = {MIN_TIMEOUT_MS + path_hash % N_TIMEOUTS}ms\n"
            )
        return "\n".join(sections)

    def render_overlay(self, *, timeout: str) -> bytes:
        """Return an overlay that sets the timeout of the first route."""
        return f"[route {self.services[0]}-0]\ntimeout = {timeout}\n".encode()

    def list_values(self) -> dict[str, bytes]:
        """Return the published values by key; the base file is the last one."""
        values = {
            f"secret/{service}-token": f"token of {service}".encode()
            for service in self.services
        }
        for zone in self.zone_regions:
            values[f"overlay/{zone}"] = self.render_overlay(timeout="2s")
            values[f"hosts/{zone}"] = self.deployment.render_hosts(zone)
        values["base"] = self.render_base()
        return values
