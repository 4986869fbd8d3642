"""Guards against a docs/capacity-entry.md that differs from its data files, and
against a `capacity.py --check` that does not detect such a difference."""

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

# Constants that utils/capacity.py copies: source file, name, value.
SOURCE_CONSTANTS = (
    ("lib/edge/gossip.cc", "kMaxRecordsPerDigest", capacity.DIGEST_RECORDS),
    ("lib/state/peer_table.cc", "kTargets", capacity.GOSSIP_TARGETS),
    ("include/tanagervane/state/peer_table.h", "kGossipInterval",
     1000 * capacity.GOSSIP_PERIOD_S),
    ("lib/edge/backend_pool.cc", "kStatusInterval",
     1000 * capacity.STATUS_PERIOD_S),
    ("lib/state/document_tracker.cc", "kRereadPeriod",
     1000 * capacity.REREAD_PERIOD_S),
    ("lib/state/document_tracker.cc", "kWatchers", capacity.WATCHERS),
    ("lib/edge/entry_core.cc", "kTickInterval", 1000 / capacity.TICKS_PER_S),
    ("lib/edge/entry_core.cc", "kConnectionsPerEntry", 2),
    ("lib/routing/hedge_policy.cc", "kFullBudgetQuantile",
     1 - capacity.HEDGE_FRACTION),
    ("lib/state/order_ledger.cc", "kBuckets", capacity.ORDER_BUCKETS),
    ("lib/state/order_ledger.cc", "kEpochMs",
     1000 * capacity.ORDER_EPOCH_S),
)


def run_check(*options):
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

    # Guards against figures in the page that no measurement produced.
    def test_page_matches_data_files(self):
        result = run_check()
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)

    # Guards against a --check that accepts a figure edited by hand.
    def test_altered_figure_in_the_page_fails(self):
        page = self.read(PAGE)
        altered = re.sub(r"(\| sub-requests/s for each node \| )\d",
                         r"\g<1>9", page)
        self.assertNotEqual(page, altered)
        result = run_check("--page=" + self.write("page.md", altered))
        self.assertEqual(result.returncode, 1)
        self.assertIn("sub-requests/s for each node", result.stdout)

    # Guards against a --check that does not read the data files.
    def test_altered_measurement_fails(self):
        for name in os.listdir(DATA):
            if name.startswith("slopes_"):
                text = self.read(os.path.join(DATA, name))
                self.write(name, re.sub(
                    r"(entry_request_us_by_shards,160,)\d", r"\g<1>1", text))
        pattern = os.path.join(self.directory.name, "slopes_*.csv")
        result = run_check("--data=" + pattern)
        self.assertEqual(result.returncode, 1, result.stderr)

    # Guards against a constant changed in a source file but not in capacity.py.
    def test_constants_equal_those_in_the_sources(self):
        for path, name, value in SOURCE_CONSTANTS:
            text = self.read(os.path.join(ROOT, path))
            match = re.search(name + r"\s*(?:=\s*|[({])([0-9.]+)", text)
            self.assertIsNotNone(match, name)
            self.assertAlmostEqual(float(match.group(1)), value, msg=name)

    # Guards against a page from which the marker of a table was deleted.
    def test_missing_table_fails(self):
        page = self.read(PAGE).replace("<!-- table: orders -->", "")
        result = run_check("--page=" + self.write("page.md", page))
        self.assertNotEqual(result.returncode, 0)


if __name__ == "__main__":
    unittest.main()
