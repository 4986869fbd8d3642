"""Guards against a ledger whose losses do not add up to the bench's figures or
are put down to the wrong cause."""

import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.dirname(os.path.abspath(__file__)))), "utils"))
import ledger  # noqa: E402

PREFIX = "vm-1 time_ms=1"


def request_line(second, request, outcome, reason, done, elapsed=20.0):
    return (f"  {second} {PREFIX} event=request request={request} route=all "
            f"outcome={outcome} reason={reason} elapsed_ms={elapsed} parts=10 "
            f"parts_done={done}")


def decision_line(second, request, what):
    return f"  {second} {PREFIX} event=decision request={request} what={what} part=3"


def window(name, worth, n=10):
    return {"name": name, "worth": worth, "n": n, "not_owed": 0}


class LedgerTest(unittest.TestCase):
    def divide(self, windows, lines):
        requests, decisions = ledger.read_log(lines)
        return ledger.divide(windows, requests, decisions)

    def test_losses_add_up_to_the_bench(self):
        windows = [window("0", 0.9), window("2", 0.5), window("4", 1.0)]
        losses = self.divide(windows, [
            request_line(1.0, "a", "partial", "overloaded", 9),
            decision_line(1.0, "a", "skipped"),
            request_line(1.1, "b", "failed", "no_allowance", 0),
            request_line(2.5, "c", "late", "none", 10),
            decision_line(2.5, "c", "hedged"),
            request_line(3.0, "d", "on_time", "none", 10),
        ])
        for counted, causes in zip(windows, losses):
            self.assertAlmostEqual(sum(causes.values()), 1 - counted["worth"],
                                   delta=0.01)

    def test_causes_follow_the_decisions(self):
        losses = self.divide([window("0", 0.7)], [
            request_line(1.0, "a", "partial", "overloaded", 8),
            decision_line(1.0, "a", "skipped"),
            decision_line(1.0, "a", "hedged"),
            request_line(1.1, "b", "failed", "shed", 0),
        ])[0]
        self.assertAlmostEqual(losses["shard full"], 0.036)
        self.assertAlmostEqual(losses["replica rejects"], 0.1)
        self.assertAlmostEqual(losses[ledger.NOT_LOGGED], 0.164)

    def test_requests_count_in_the_window_of_their_arrival(self):
        losses = self.divide([window("0", 0.9), window("2", 0.9)], [
            request_line(2.1, "a", "late", "none", 10, elapsed=300.0)])
        self.assertGreater(losses[0]["replica slow"], 0)
        self.assertEqual(losses[1]["replica slow"], 0)

    def test_repeated_tries_are_scaled_down(self):
        losses = self.divide([window("0", 0.95)], [
            request_line(1.0, str(i), "refused", "overloaded", 0)
            for i in range(5)])[0]
        self.assertAlmostEqual(losses["shard full"], 0.05)


if __name__ == "__main__":
    unittest.main()
