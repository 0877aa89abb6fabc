from unittest import TestCase

from foxtailway.sidecar.address_owner import AddressOwner
from foxtailway.traffic.selection import REPLACED_S


class AddressOwnerTest(TestCase):
    def test_upstream_is_replaced_for_a_while(self) -> None:
        owner = AddressOwner()
        owner.record_refusal("u-1", "u-2", 1.0)
        self.assertTrue(owner.is_replaced("u-1", 1.0 + REPLACED_S / 2))
        self.assertFalse(owner.is_replaced("u-1", 1.0 + REPLACED_S))
        self.assertFalse(owner.is_replaced("u-2", 1.0))

    def test_refusals_are_forgotten_in_the_order_of_their_last_occurrence(self) -> None:
        """An address that passed through many upstreams kept all of them."""
        owner = AddressOwner()
        for number in range(1000):
            owner.record_refusal("u-0", "u-1", number * REPLACED_S / 4)
            owner.record_refusal(f"u-{number}", "u-1", number * REPLACED_S / 4)
        self.assertLessEqual(len(owner.replaced_at), 5)
        self.assertTrue(owner.is_replaced("u-0", 999 * REPLACED_S / 4))
