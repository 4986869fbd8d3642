"""Guards against a capacity page that differs from its data, and against a
check that no longer notices."""

import os
import re
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.dirname(os.path.abspath(__file__)))), "utils"))
import capacity  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PAGE = os.path.join(ROOT, "docs", "capacity-entry.md")
DATA = os.path.join(ROOT, "docs", "data")

# What utils/capacity.py takes from the code: file, constant, value.
CONSTANTS = (
    ("lib/edge/gossip.cc", "kMaxRecords", capacity.DIGEST_RECORDS),
    ("lib/state/peer_table.cc", "kTargets", capacity.GOSSIP_TARGETS),
    ("include/tanagervane/state/peer_table.h", "kGossipInterval",
     1000 * capacity.GOSSIP_PERIOD_S),
    ("lib/edge/backend_pool.cc", "kStatusPeriod",
     1000 * capacity.STATUS_PERIOD_S),
    ("lib/state/document_tracker.cc", "kRereadPeriod",
     1000 * capacity.REREAD_PERIOD_S),
    ("lib/state/document_tracker.cc", "kWatchers", capacity.WATCHERS),
    ("lib/edge/entry_core.cc", "kTick", 1000 / capacity.TICKS_A_SECOND),
    ("lib/edge/entry_core.cc", "kConnectionsPerEntry", 2),
    ("lib/routing/hedge_policy.cc", "kFullBudgetQuantile",
     1 - capacity.HEDGE_WANTED),
    ("lib/state/order_ledger.cc", "kBuckets", capacity.ORDER_BUCKETS),
    ("lib/state/order_ledger.cc", "kEpochMs",
     1000 * capacity.ORDER_EPOCH_S),
)


def check(*options):
    return subprocess.run(
        [sys.executable, os.path.join(ROOT, "utils", "capacity.py"),
         "--check"] + list(options),
        capture_output=True, text=True, check=False)


class CapacityPageTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)

    def write(self, name, text):
        path = os.path.join(self.directory.name, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def read(self, path):
        with open(path, encoding="utf-8") as file:
            return file.read()

    # Guards against figures that no run has produced.
    def test_page_matches_the_data(self):
        result = check()
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)

    # Guards against a check that accepts an altered figure in the page.
    def test_an_altered_figure_is_found(self):
        page = self.read(PAGE)
        altered = re.sub(r"(\| sub-requests/s for each node \| )\d",
                         r"\g<1>9", page)
        self.assertNotEqual(page, altered)
        result = check("--page=" + self.write("page.md", altered))
        self.assertEqual(result.returncode, 1)
        self.assertIn("sub-requests/s for each node", result.stdout)

    # Guards against a page that ignores a changed measurement.
    def test_an_altered_measurement_is_found(self):
        for name in os.listdir(DATA):
            if name.startswith("slopes_"):
                text = self.read(os.path.join(DATA, name))
                self.write(name, re.sub(
                    r"(entry_request_us_by_shards,160,)\d", r"\g<1>1", text))
        pattern = os.path.join(self.directory.name, "slopes_*.csv")
        result = check("--data=" + pattern)
        self.assertEqual(result.returncode, 1, result.stderr)

    # Guards against sums that rest on an older constant of the code.
    def test_constants_are_those_of_the_code(self):
        for path, name, value in CONSTANTS:
            text = self.read(os.path.join(ROOT, path))
            match = re.search(name + r"\s*(?:=\s*|[({])([0-9.]+)", text)
            self.assertIsNotNone(match, name)
            self.assertAlmostEqual(float(match.group(1)), value, msg=name)

    # Guards against a table that was lost from the page.
    def test_a_missing_table_is_found(self):
        page = self.read(PAGE).replace("<!-- table: orders -->", "")
        result = check("--page=" + self.write("page.md", page))
        self.assertNotEqual(result.returncode, 0)


if __name__ == "__main__":
    unittest.main()
