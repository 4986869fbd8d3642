"""Guards against a docs/CAPACITY.md that differs from the output of the sweeps,
and against a `sweep_page.py --check` that does not detect the difference."""

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


def run_check(page=PAGE, data=DATA):
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

    def replace_in_file(self, path, pattern, replacement):
        with open(path, encoding="utf-8") as file:
            text = file.read()
        changed = re.sub(pattern, replacement, text, count=1, flags=re.M)
        self.assertNotEqual(text, changed)
        with open(path, "w", encoding="utf-8") as file:
            file.write(changed)

    def large_site_data(self):
        return os.path.join(self.data, "sweep_lavandeti-ricerca-large.txt")

    def test_page_matches_data_files(self):
        result = run_check()
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)

    def test_altered_figure_in_the_page_fails(self):
        self.replace_in_file(self.page, r"(\| memory \| )\d", r"\g<1>9")
        result = run_check(self.page)
        self.assertEqual(result.returncode, 1)
        self.assertIn("memory", result.stdout)

    def test_altered_measurement_fails(self):
        self.replace_in_file(self.large_site_data(),
                             r"^(node: processor % +)\d", r"\g<1>9")
        self.assertEqual(run_check(data=self.data).returncode, 1)

    def test_verdict_is_computed_from_the_figures(self):
        """Guards against a verdict that does not depend on its figure."""
        self.replace_in_file(self.large_site_data(),
                             r"^(node: memory MB .*?)[\d.]+$", r"\g<1>999")
        result = run_check(data=self.data)
        self.assertIn("+| memory | 999 MB | 256 MB | does not hold |",
                      result.stdout)

    def test_broken_rule_fails_the_worth_bound(self):
        self.replace_in_file(self.large_site_data(),
                             r"^(sweep-300 +\d+/.*)$", r"\1 BROKEN: LOST")
        result = run_check(data=self.data)
        self.assertRegex(result.stdout, r"\+\| worth at .* does not hold \|")

    def test_missing_table_fails(self):
        self.replace_in_file(self.page, r"<!-- table: days \S+ -->", "")
        self.assertEqual(run_check(self.page).returncode, 2)

    def test_missing_data_file_fails(self):
        os.unlink(self.large_site_data())
        self.assertEqual(run_check(data=self.data).returncode, 2)


if __name__ == "__main__":
    unittest.main()
