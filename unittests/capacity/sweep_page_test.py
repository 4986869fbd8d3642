"""Guards against a capacity page that differs from what the sweeps printed, and
against a check that no longer notices."""

import os
import re
import shutil
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PAGE = os.path.join(ROOT, "docs", "CAPACITY.md")
DATA = os.path.join(ROOT, "docs", "data")


def check(page=PAGE, data=DATA):
    return subprocess.run(
        [sys.executable, os.path.join(ROOT, "utils", "sweep_page.py"),
         "--check", "--page=" + page, "--data=" + data],
        capture_output=True, text=True, check=False)


class SweepPageTest(unittest.TestCase):

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.page = os.path.join(folder.name, "page.md")
        self.data = os.path.join(folder.name, "data")
        os.mkdir(self.data)
        shutil.copy(PAGE, self.page)
        for name in os.listdir(DATA):
            if name.startswith("sweep_"):
                shutil.copy(os.path.join(DATA, name), self.data)

    def change(self, path, pattern, replacement):
        with open(path, encoding="utf-8") as file:
            text = file.read()
        changed = re.sub(pattern, replacement, text, count=1, flags=re.M)
        self.assertNotEqual(text, changed)
        with open(path, "w", encoding="utf-8") as file:
            file.write(changed)

    def large(self):
        return os.path.join(self.data, "sweep_lavandeti-ricerca-large.txt")

    def test_page_matches_the_data(self):
        result = check()
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)

    def test_an_altered_figure_is_found(self):
        self.change(self.page, r"(\| memory \| )\d", r"\g<1>9")
        result = check(self.page)
        self.assertEqual(result.returncode, 1)
        self.assertIn("memory", result.stdout)

    def test_an_altered_measurement_is_found(self):
        self.change(self.large(), r"^(node: processor % +)\d", r"\g<1>9")
        self.assertEqual(check(data=self.data).returncode, 1)

    def test_a_verdict_follows_its_figures(self):
        """Guards against a bound that is said to hold at any figure."""
        self.change(self.large(), r"^(node: memory MB .*?)[\d.]+$", r"\g<1>999")
        result = check(data=self.data)
        self.assertIn("+| memory | 999 MB | 256 MB | does not hold |",
                      result.stdout)

    def test_a_broken_rule_is_no_kept_worth(self):
        self.change(self.large(), r"^(sweep-300 +\d+/.*)$", r"\1 BROKEN: LOST")
        result = check(data=self.data)
        self.assertRegex(result.stdout, r"\+\| worth at .* does not hold \|")

    def test_a_missing_table_is_found(self):
        self.change(self.page, r"<!-- table: days \S+ -->", "")
        self.assertEqual(check(self.page).returncode, 2)

    def test_missing_data_is_found(self):
        os.unlink(self.large())
        self.assertEqual(check(data=self.data).returncode, 2)


if __name__ == "__main__":
    unittest.main()
