"""Short runs of the fault soak with fixed seeds."""

import subprocess
import sys
import unittest
from pathlib import Path

from platform_standin import Answer
from statement_audit import StatementAudit

SOAK = Path(__file__).with_name("soak_platform.py")

# Seeds that found a fault, with its cause.
REGRESSIONS = {
    323: "a reload signal during the start ended the process",
    326: "a reload signal during the start, after other faults",
    537: "two nodes whose watches omitted events hid a change from each other",
    550: "as seed 537",
    40006: "the audit did not excuse a restart after a graceful stop",
}


class RecordedReplica:
    """A replica that rejects a request at 10.0 s and wants nothing for 1 s, and
    gets three more requests in the last moments of that time."""

    name = "r"
    arrived = ["rejected", "a", "b", "c"]
    arrival_times = [10.0, 10.95, 10.96, 10.97]
    answers = [Answer("rejected", 10.0, False, None, 1.0)]


class AuditTest(unittest.TestCase):

    def problems(self, disruptions):
        audit = StatementAudit()
        for request_id, at in zip(RecordedReplica.arrived,
                                  RecordedReplica.arrival_times):
            audit.add_request(request_id, "node", at)
        for at in disruptions:
            audit.add_disruption("node", at)
        return list(audit.backoff_problems(RecordedReplica))

    def test_restart_during_a_backoff(self):
        """Guards against an audit that blames a new process for requests during
        a back-off that the replica stated to the process before it, while that
        one stopped gracefully, and against one that excuses the stop alone."""
        self.assertEqual(len(self.problems([])), 1)
        self.assertEqual(len(self.problems([9.8])), 1)
        self.assertEqual(self.problems([9.8, 10.9]), [])


class SoakTest(unittest.TestCase):

    def soak(self, seeds, seconds):
        done = subprocess.run(
            [sys.executable, str(SOAK), "--seeds", seeds, "--seconds",
             str(seconds)],
            capture_output=True, text=True, timeout=250, check=False)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)

    def test_seeds(self):
        """Guards against wrong answers, double runs and late responses under
        overlapping faults, and against nodes that do not recover."""
        self.soak("1:4", 6)

    def test_seeds_that_failed(self):
        """Guards against regressions of faults that the soak has found."""
        for seed, cause in REGRESSIONS.items():
            with self.subTest(seed=seed, cause=cause):
                self.soak("%d:%d" % (seed, seed), 5)


if __name__ == "__main__":
    unittest.main()
