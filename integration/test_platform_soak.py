"""Short runs of the fault soak with fixed seeds."""

import subprocess
import sys
import unittest
from pathlib import Path

SOAK = Path(__file__).with_name("soak_platform.py")

# Seeds that found a fault, with its cause.
REGRESSIONS = {
    323: "a reload signal during the start ended the process",
    326: "a reload signal during the start, after other faults",
    537: "two nodes whose watches omitted events hid a change from each other",
    550: "as seed 537",
}


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
