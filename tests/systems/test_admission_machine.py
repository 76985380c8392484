"""Stateful tests of admission, and a bound on the wait of every class."""

from __future__ import annotations

import unittest

from hypothesis import settings

from boragetiller.settings import AdmissionSettings
from boragetiller.systems import admission
from boragetiller.tables.admission_actions import StartWork
from boragetiller.tables.agent_work import WorkTable
from tests.systems.admission_machine import AdmissionMachine
from tests.systems.work_items import make_item

AdmissionMachineTest = AdmissionMachine.TestCase
AdmissionMachineTest.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None, database=None
)


class StarvationTest(unittest.TestCase):
    def longest_wait_ms(self, lower_classes: int) -> dict[str, int]:
        """
        Overload an agent with protected requests, which never end, for two minutes.

        :param lower_classes: number of classes whose requests are not protected
        :return: longest wait of each of these classes in milliseconds
        """
        table = WorkTable()
        settings_ = AdmissionSettings(initial_running=4, max_running=4, aging_interval_ms=1_000)
        names = [f"low{number}" for number in range(lower_classes)]
        served_ms = dict.fromkeys(names, 0)
        longest_ms = dict.fromkeys(names, 0)
        for now_ms in range(0, 120_000, 50):
            items = [make_item(0, protected=True, arrived_ms=now_ms)]
            items += [make_item(1 + n % 3, class_name=name) for n, name in enumerate(names)]
            actions = [a for i in items for a in admission.submit(table, i, settings_, now_ms)]
            actions += admission.run_tick(table, settings_, now_ms)
            for action in actions:
                name = action.request_id.split("-")[0]
                if isinstance(action, StartWork) and name in served_ms:
                    longest_ms[name] = max(longest_ms[name], now_ms - served_ms[name])
                    served_ms[name] = now_ms
                    admission.finish(table, action.request_id, settings_, now_ms)
        return {n: max(longest_ms[n], 120_000 - served_ms[n]) for n in names}

    def test_every_class_is_served_within_the_bound(self) -> None:
        for lower_classes in (1, 3, 6):
            waits = self.longest_wait_ms(lower_classes)
            bound_ms = (lower_classes + 2) * 1_000 + 50  # the protected class is queued as well
            self.assertLessEqual(max(waits.values()), bound_ms, waits)


if __name__ == "__main__":
    unittest.main()
