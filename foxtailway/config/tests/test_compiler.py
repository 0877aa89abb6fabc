import unittest
from pathlib import Path

from foxtailway.common import Step
from foxtailway.config import SnapshotCompiler, read_generation, read_zone_regions
from foxtailway.config.tests.documents import (
    BASE,
    CONFIG,
    HOSTS,
    SECRET_VALUE,
    make_config_bundle,
    make_hosts_bundle,
)
from foxtailway.model import make_document


class SnapshotCompilerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.compiler = SnapshotCompiler(site="north")

    def compile(self, config=CONFIG, hosts=HOSTS):
        return self.compiler.compile(
            config=make_config_bundle(config), hosts=make_hosts_bundle(hosts)
        )

    def test_overlay_applies_to_its_site_alone(self) -> None:
        routes = {route.name: route for route in self.compile().ok.routes}
        self.assertEqual(routes["payments"].timeout_s, 2.0)
        self.compiler = SnapshotCompiler(site="south")
        routes = {route.name: route for route in self.compile().ok.routes}
        self.assertEqual(routes["payments"].timeout_s, 0.8)

    def test_references_are_resolved(self) -> None:
        snapshot = self.compile().ok
        self.assertEqual(set(snapshot.endpoints), {"slots", "payments"})
        self.assertEqual([host.host_id for host in snapshot.endpoints["slots"]], ["n1"])
        self.assertEqual(set(snapshot.hosts), {"n1", "n2", "s1"})
        self.assertEqual(set(snapshot.secrets), {"token"})
        self.assertEqual(snapshot.routes[0].path_prefix, "/payments")

    def test_route_without_live_endpoint_is_withdrawn_with_its_cluster(self) -> None:
        hosts = {"hosts/north": HOSTS["hosts/north"].replace("live", "leaving", 1)}
        snapshot = self.compile(hosts=hosts).ok
        self.assertEqual(snapshot.withdrawn_routes, ("slots",))
        self.assertEqual(set(snapshot.clusters), {"payments"})
        self.assertEqual([route.name for route in snapshot.routes], ["payments"])

    def test_rejection_names_step_and_leaves_state(self) -> None:
        before = self.compile().ok
        state = self.compiler.state
        rejection = self.compile({**CONFIG, "overlay/south": "[nonsense]"}).error
        self.assertEqual(rejection.failure.step, Step.CONFIG_VALIDATE)
        self.assertEqual(rejection.failure.peer, "overlay/south")
        self.assertEqual(len(rejection.findings), 1)
        self.assertIs(self.compiler.state, state)
        self.assertEqual(self.compile().ok, before)

    def test_bad_host_list_is_rejected(self) -> None:
        rejection = self.compile(hosts={"hosts/north": "[1]"}).error
        self.assertEqual(rejection.failure.step, Step.CONFIG_PARSE)
        self.assertIn("line 1", rejection.failure.detail)

    def test_host_in_two_zones_is_rejected(self) -> None:
        hosts = {**HOSTS, "hosts/south": HOSTS["hosts/north"]}
        rejection = self.compile(hosts=hosts).error
        self.assertEqual(rejection.failure.peer, "n1")

    def test_hosts_of_unknown_zones_are_left_out(self) -> None:
        hosts = {**HOSTS, "hosts/west": '["w1","10.0.2.1",7000,"slots","live"]'}
        snapshot = self.compile(hosts=hosts).ok
        self.assertNotIn("w1", snapshot.hosts)
        self.assertEqual(len(snapshot.endpoints["slots"]), 1)

    def test_absent_secret_is_rejected(self) -> None:
        config = {"base": BASE}
        rejection = self.compile(config).error
        self.assertEqual(rejection.findings[0].key, "secret")

    def test_site_without_section_is_rejected(self) -> None:
        self.compiler = SnapshotCompiler(site="west")
        self.assertEqual(self.compile().error.failure.step, Step.COMPILE)

    def test_secret_values_never_show(self) -> None:
        leaky = {**CONFIG, "secret/token": SECRET_VALUE + "\x07"}
        leaky["base"] = BASE.replace("secret = token", f"secret = {SECRET_VALUE}!")
        texts = [repr(self.compile().ok), repr(self.compiler.state)]
        texts.append(repr(self.compile(leaky).error))
        for text in texts:
            self.assertNotIn(SECRET_VALUE, text)


class GenerationTest(unittest.TestCase):
    def test_generation_of_base(self) -> None:
        self.assertEqual(read_generation(BASE.encode()).ok, 3)
        moved = f"# note\n[site x]\nregion = x\n{BASE}".encode()
        self.assertEqual(read_generation(moved).ok, 3)
        self.assertEqual(read_generation(b"[mesh]\ngeneration = 7").ok, 7)
        self.assertTrue(read_generation(b"").is_error())
        self.assertTrue(read_generation(b"[mesh]\ngeneration = x").is_error())
        self.assertTrue(read_generation(b"[site a]\ngeneration = 4").is_error())
        self.assertTrue(read_generation(b"\xff[mesh]").is_error())


class ZoneRegionsTest(unittest.TestCase):
    def test_regions_of_base(self) -> None:
        document = make_document(key="base", content=BASE.encode())
        self.assertEqual(
            dict(read_zone_regions(document)), {"north": "coast", "south": "inland"}
        )


class ExamplesTest(unittest.TestCase):
    def test_examples_compile(self) -> None:
        for path in sorted(Path("examples").glob("*/base.ini")):
            with self.subTest(path=path):
                self.check_example(path.parent)

    def check_example(self, directory: Path) -> None:
        contents = {"base": directory.joinpath("base.ini").read_text()}
        for path in directory.glob("*-[ab].ini"):
            contents[f"overlay/{path.stem}"] = path.read_text()
        for service in ("payments", "billing"):
            contents[f"secret/{service}-token"] = "value"
        self.assertEqual(len(contents), 7)
        site = min(key for key in contents if key.startswith("overlay/"))
        compiler = SnapshotCompiler(site=site.partition("/")[2])
        result = compiler.compile(
            config=make_config_bundle(contents), hosts=make_hosts_bundle({})
        )
        self.assertTrue(result.is_ok(), result)
        self.assertEqual(len(result.ok.withdrawn_routes), 5)
