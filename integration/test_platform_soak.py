"""A short seeded run of the fault soak."""

import subprocess
import sys
import unittest
from pathlib import Path

SOAK = Path(__file__).with_name("soak_platform.py")


class SoakTest(unittest.TestCase):

    def test_seeds(self):
        """Guards against wrong, doubled or lost answers, and against nodes
        that do not recover, under overlapping faults."""
        done = subprocess.run(
            [sys.executable, str(SOAK), "--seeds", "1:4", "--seconds", "6"],
            capture_output=True, text=True, timeout=250, check=False)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)


if __name__ == "__main__":
    unittest.main()
