"""The two example deployments."""

from dataclasses import dataclass
from pathlib import Path

from foxtailway.testing.deployment import Deployment, ZonePlan, plan_deployment

__all__ = ["DemoRequest", "DemoSpec", "find_spec"]

# Folder with one subfolder of configuration files for each deployment.
EXAMPLES_FOLDER = Path(__file__).resolve().parent.parent


@dataclass(frozen=True, slots=True, kw_only=True)
class DemoRequest:
    """Method and path of a call that clients make."""

    method: str
    path: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DemoSpec:
    """Deployment, client calls and edits of the demonstration.

    Parameters
    ----------
    deployment : Deployment
        Layout of the hosts.
    folder : Path
        Folder with the base file and the overlays.
    requests : tuple of DemoRequest
        Calls made by clients, in round-robin order.
    edited_site : str
        Availability zone whose overlay is edited.
    good_overlay, bad_overlay : str
        Valid and invalid content of the overlay.
    """

    deployment: Deployment
    folder: Path
    requests: tuple[DemoRequest, ...]
    edited_site: str
    good_overlay: str
    bad_overlay: str

    def read_base(self) -> bytes:
        """Return the base file."""
        return (self.folder / "base.ini").read_bytes()

    def read_overlay(self, zone: str) -> bytes:
        """Return the overlay of an availability zone."""
        return (self.folder / f"{zone}.ini").read_bytes()


def make_pondside() -> DemoSpec:
    """Return the deployment of Pondside Fleet."""
    return DemoSpec(
        deployment=plan_deployment(
            mesh="pondside",
            store_region="accra",
            subnet=1,
            zones=(
                ZonePlan(zone="accra-a", region="accra"),
                ZonePlan(zone="accra-b", region="accra"),
                ZonePlan(zone="kumasi-a", region="kumasi"),
                ZonePlan(zone="kumasi-b", region="kumasi"),
            ),
            services=("slot-catalogue", "regatta-holds", "payments", "cancellations"),
            n_extra_upstreams=1,
        ),
        folder=EXAMPLES_FOLDER / "pondside",
        requests=(
            DemoRequest(method="GET", path="/slots/12"),
            DemoRequest(method="POST", path="/holds"),
            DemoRequest(method="POST", path="/payments"),
            DemoRequest(method="POST", path="/cancellations"),
        ),
        edited_site="kumasi-b",
        good_overlay="[route slots]\ntimeout = 3s\n",
        bad_overlay="[route slots]\ntimeout = 90s\n",
    )


def make_kaevukaitse() -> DemoSpec:
    """Return the deployment of Kaevukaitse Hooldus."""
    return DemoSpec(
        deployment=plan_deployment(
            mesh="kaevukaitse",
            store_region="tallinn",
            subnet=2,
            zones=(
                ZonePlan(zone="tallinn-a", region="tallinn"),
                ZonePlan(zone="tallinn-b", region="tallinn"),
                ZonePlan(zone="tartu-a", region="tartu"),
                ZonePlan(zone="tartu-b", region="tartu"),
            ),
            services=("pump-records", "dispatch", "warehouse", "billing"),
        ),
        folder=EXAMPLES_FOLDER / "kaevukaitse",
        requests=(
            DemoRequest(method="GET", path="/records/7"),
            DemoRequest(method="POST", path="/callouts"),
            DemoRequest(method="POST", path="/reservations"),
            DemoRequest(method="POST", path="/invoices"),
        ),
        edited_site="tartu-b",
        good_overlay="[route records]\ntimeout = 3s\n",
        bad_overlay="[route records]\ntimeout = 90s\n",
    )


def find_spec(name: str) -> DemoSpec:
    """Return the specification of a deployment.

    Raises
    ------
    KeyError
        If there is no deployment with the name.
    """
    return {"pondside": make_pondside, "kaevukaitse": make_kaevukaitse}[name]()
