#!/usr/bin/env python3
"""Checks that the pages under docs/ name only files and test cases that exist."""
import pathlib
import re
import sys


def test_cases(root):
    cases = set()
    for source in root.glob("Tests/**/*.cpp"):
        program = source.relative_to(root / "Tests").parts
        folder = "_".join(program[:-1])
        for name in re.findall(r"CPPUNIT_TEST\((\w+)\)", source.read_text()):
            cases.add(f"{folder}/{name}")
    return cases


def broken_links(root, page):
    for target in re.findall(r"\]\(([^)#\s]+)(?:#[^)]*)?\)", page.read_text()):
        if "://" not in target and not (page.parent / target).exists():
            yield f"{page.relative_to(root)}: no such file: {target}"


def missing_files(root, page):
    pattern = r"`((?:Meta|Libraries|Services|Utilities|Development|Tests|examples|docs)/[\w./-]+)`"
    for target in re.findall(pattern, page.read_text()):
        if not (root / target).exists():
            yield f"{page.relative_to(root)}: no such file: {target}"


def missing_cases(root, page, cases):
    folders = {case.split("/")[0] for case in cases}
    for folder, name in re.findall(r"`(\w+)/(\w+)`", page.read_text()):
        if folder in folders and f"{folder}/{name}" not in cases:
            yield f"{page.relative_to(root)}: no such test case: {folder}/{name}"


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    cases = test_cases(root)
    faults = []
    for page in [*sorted(root.glob("docs/**/*.md")), root / "README.md"]:
        if not page.exists():
            faults.append(f"missing page: {page.relative_to(root)}")
            continue
        faults += broken_links(root, page)
        faults += missing_files(root, page)
        if page.name == "guarantees.md":
            faults += missing_cases(root, page, cases)
    print("\n".join(faults) or "documentation: clean")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
