#!/usr/bin/env python3
"""Runs the tests of a build folder with CTest and applies KNOWN-RED.txt.

Each entry of KNOWN-RED.txt starts with a line "test: NAME". Listed tests are run and printed, but their failure does not
fail the run. A listed test that passes, or an entry that names no test, fails the run.
The last line printed is "N passed, N failed".
"""
import json
import pathlib
import re
import subprocess
import sys


def known_red(path):
    if not path.exists():
        return []
    return re.findall(r"^test:\s*(\S+)", path.read_text(), re.MULTILINE)


def main():
    build = sys.argv[1]
    listed = known_red(pathlib.Path("KNOWN-RED.txt"))
    shown = subprocess.run(["ctest", "--test-dir", build, "--show-only=json-v1"], capture_output=True, check=True, text=True)
    names = [test["name"] for test in json.loads(shown.stdout)["tests"]]
    if not names:
        print("no tests found")
        return 1

    run = subprocess.run(
        ["ctest", "--test-dir", build, "--output-on-failure", "-j", "4"], stdout=subprocess.PIPE, text=True
    )
    sys.stdout.write(run.stdout)
    results = dict(re.findall(r"Test\s+#\d+:\s+(\S+)\s+\.+\s*(?:\*\*\*)?(Passed|\S+)", run.stdout))

    faults = []
    for name in listed:
        if name not in names:
            faults.append(f"KNOWN-RED.txt names no test: {name}")
        elif results.get(name) == "Passed":
            faults.append(f"KNOWN-RED.txt lists a test that passes: {name}")
        else:
            print(f"known red: {name}: {results.get(name, 'not run')}")
    failed = [name for name in names if results.get(name) != "Passed" and name not in listed]
    for line in faults:
        print(line)
    passed = sum(1 for name in names if results.get(name) == "Passed")
    print(f"{passed} passed, {len(failed) + len(faults)} failed")
    return 1 if failed or faults else 0


if __name__ == "__main__":
    sys.exit(main())
