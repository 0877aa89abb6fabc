from unittest import TestCase

from foxtailway.traffic.feeding import MAX_CONFIRMED_AGE_S, N_READERS, FeedRoles
from foxtailway.traffic.tests.builders import make_upstream

REGIONS = {"zone-a": "east", "zone-b": "east", "zone-c": "west"}
UPSTREAMS = [
    make_upstream(f"u-{number}", address=f"10.0.0.{number}", zone=zone)
    for number, zone in enumerate(("zone-a", "zone-b", "zone-a", "zone-b", "zone-c"))
]


def make_roles(number: int) -> FeedRoles:
    roles = FeedRoles(address=f"10.0.0.{number}")
    roles.update(UPSTREAMS, UPSTREAMS[number].zone, REGIONS)
    return roles


class FeedRolesTest(TestCase):
    def test_nodes_of_a_region_agree(self) -> None:
        roles = [make_roles(number) for number in range(4)]
        self.assertEqual(len({item.readers for item in roles}), 1)
        readers = [item for item in roles if item.is_reader]
        self.assertEqual(len(readers), N_READERS)

    def test_every_node_that_does_not_read_is_fed_by_each_reader(self) -> None:
        roles = [make_roles(number) for number in range(4)]
        others = {item.address for item in roles if not item.is_reader}
        for reader in (item for item in roles if item.is_reader):
            self.assertEqual(set(reader.followers), others)

    def test_region_of_one_host_reads_itself(self) -> None:
        roles = make_roles(4)
        self.assertTrue(roles.is_reader)
        self.assertEqual(roles.followers, ())

    def test_follower_reads_itself_when_its_confirmation_is_old(self) -> None:
        follower = next(
            roles for roles in map(make_roles, range(4)) if not roles.is_reader
        )
        self.assertFalse(follower.is_fed(0.0))
        follower.confirm(10.0)
        self.assertTrue(follower.is_fed(10.0 + MAX_CONFIRMED_AGE_S - 0.1))
        self.assertFalse(follower.is_fed(10.01 + MAX_CONFIRMED_AGE_S))

    def test_host_that_is_not_registered_is_no_reader(self) -> None:
        roles = FeedRoles(address="10.0.0.99")
        roles.update(UPSTREAMS, "zone-a", REGIONS)
        self.assertFalse(roles.is_reader)
