"""Orders run at most once, under faults of entries and the platform."""

import time
import unittest

from cluster import wait_until
from faultlib import ONE_SHARD_INDEX, FaultTest, Load, run_in_background, \
    run_together


class OrdersTest(FaultTest):

    # Constant service times: with random ones, an order on a slowed replica
    # could end early.
    OPTIONS = {"distribution": "constant"}

    def test_same_key_through_two_entries(self):
        """Guards against a double run when two entries get orders with the same
        key at the same time."""
        for number in range(12):
            payload = "twice-%d" % number
            issued_at_ms = int(time.time() * 1000)
            run_together(*[lambda e=entry: self.caller.order(
                payload, entry=e, issued_at_ms=issued_at_ms)
                           for entry in self.entries])
        self.check_orders()
        self.assertEqual(12, len({r.payload for r in self.caller.records
                                  if r.outcome == "complete"}))

    def test_entry_killed_after_sending(self):
        """Guards against a second run when an entry dies after it has sent an
        order to a replica and the caller resends it through another entry."""
        self.cluster.change_replicas(ONE_SHARD_INDEX, speed=0.001)
        issued_at_ms = int(time.time() * 1000)
        first = run_in_background(lambda: self.caller.order(
            "killed", entry=self.entries[0], issued_at_ms=issued_at_ms))
        wait_until("the back end runs the order",
                   lambda: self.cluster.executions(
                       ONE_SHARD_INDEX)["killed"] == 1, 5)
        self.entries[0].process.kill()
        self.assertEqual("lost", first().outcome)
        self.cluster.change_replicas(ONE_SHARD_INDEX, speed=1)
        for _ in range(3):
            again = self.caller.order("killed", entry=self.entries[1],
                                      issued_at_ms=issued_at_ms)
            self.assertEqual("unknown", again.outcome)
        self.check_orders()

    def test_entry_killed_before_sending(self):
        """Guards against a run of an order whose claim belongs to a dead
        entry."""
        self.cluster.faults(reply_delay_ms=1000)
        before = self.platform_writes()
        issued_at_ms = int(time.time() * 1000)
        first = run_in_background(lambda: self.caller.order(
            "unsent", entry=self.entries[0], issued_at_ms=issued_at_ms))
        wait_until("the claim is written",
                   lambda: self.platform_writes() > before, 5)
        self.entries[0].process.kill()
        self.assertEqual("lost", first().outcome)
        self.cluster.faults(reply_delay_ms=0)
        again = self.caller.order("unsent", entry=self.entries[1],
                                  issued_at_ms=issued_at_ms)
        self.assertEqual("unknown", again.outcome)
        self.assertEqual(0, self.cluster.executions(ONE_SHARD_INDEX)["unsent"])

    def test_claim_holder_paused_past_deadline(self):
        """Guards against an entry that is paused beyond the deadline and then
        sends the order under its expired claim."""
        issued_at_ms = int(time.time() * 1000)
        self.cluster.faults(reply_delay_ms=300)
        before = self.platform_writes()
        first = run_in_background(lambda: self.caller.order(
            "paused", entry=self.entries[0], issued_at_ms=issued_at_ms,
            deadline_ms=1000))
        wait_until("the claim is written",
                   lambda: self.platform_writes() > before, 5)
        self.pause_entry(self.entries[0])
        # The pause must be longer than the deadline.
        time.sleep(1.2)
        self.cluster.faults(reply_delay_ms=0)
        self.resume_entry(self.entries[0])
        self.assertEqual("not_run", first().outcome)
        self.assertEqual(0, self.cluster.executions(ONE_SHARD_INDEX)["paused"])
        wait_until("the released order runs", lambda: self.caller.order(
            "paused", entry=self.entries[1], issued_at_ms=issued_at_ms
        ).outcome == "complete", 10)
        self.check_orders()

    def test_lost_platform_replies(self):
        """Guards against an order that runs twice, or is wrongly reported as
        not run, when the platform applies a claim and its reply is lost."""
        self.cluster.faults(lose_next_writes=4, lost_reply_hold_ms=100)
        for number in range(4):
            record = self.caller.order("lost-%d" % number,
                                       entry=self.entries[number % 2])
            self.assertEqual("complete", record.outcome, record)
        self.cluster.faults(lose_reply_rate=0.3)
        run_together(*[lambda n=number: self.caller.order(
            "rate-%d" % n, entry=self.entries[n % 2]) for number in range(16)])
        self.cluster.faults(lose_reply_rate=0)
        self.check_orders()
        self.assertGreater(self.cluster.platform_counters()["lost_replies"], 3)

    def test_platform_down(self):
        """Guards against an order that runs without a confirmed claim."""
        self.cluster.faults(down=True)
        for number in range(3):
            record = self.caller.order("down-%d" % number)
            self.assertEqual("not_run", record.outcome)
            self.assertIn(record.answer["error"],
                          ("platform_unavailable", "deadline_exceeded"))
        self.check_orders()
        self.assertEqual("complete", self.caller.query("lookup", "x").outcome)
        self.cluster.faults(down=False)
        wait_until("orders run again after the platform outage",
                   lambda: self.caller.order(
                       "up-%f" % time.time()).outcome == "complete", 10)
        self.check_orders()

    def test_key_reused_and_expired(self):
        """Guards against a key that is accepted for a second payload, and
        against orders older than the claims that the platform keeps."""
        issued_at_ms = int(time.time() * 1000)
        self.assertEqual("complete", self.caller.order(
            "first", key="k", issued_at_ms=issued_at_ms).outcome)
        for entry in self.entries:
            record = self.caller.order("second", key="k",
                                       issued_at_ms=issued_at_ms, entry=entry)
            self.assertEqual(("key_reused", "not_run"),
                             (record.answer["error"], record.outcome))
        old = self.caller.order(
            "old", issued_at_ms=issued_at_ms - 40 * 60 * 1000)
        self.assertEqual(("key_expired", "unknown"),
                         (old.answer["error"], old.outcome))
        self.assertEqual(0, self.cluster.executions(ONE_SHARD_INDEX)["old"])
        self.check_orders()

    def test_under_load_with_entry_paused_and_killed(self):
        """Guards against double runs when several faults act at the same
        time."""
        with Load(self.cluster, ("place-order",), threads=6) as load:
            load.wait_for_more(30)
            self.cluster.faults(lose_reply_rate=0.1, lost_reply_hold_ms=50)
            self.pause_entry(self.entries[0])
            time.sleep(0.7)
            self.resume_entry(self.entries[0])
            load.wait_for_more(20)
            # Slow enough that orders are running when their entry is killed.
            self.cluster.change_replicas(ONE_SHARD_INDEX, speed=0.03)
            wait_until("orders run through the entry", lambda: self.entries[
                0].status()["requests"]["running"] > 1)
            self.entries[0].process.kill()
            self.cluster.change_replicas(ONE_SHARD_INDEX, speed=1)
            load.wait_for_more(20)
        self.check_orders(load.records)


if __name__ == "__main__":
    unittest.main()
