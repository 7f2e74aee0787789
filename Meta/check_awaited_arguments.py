#!/usr/bin/env python3
"""Finds temporary objects that GCC 12 destroys twice: aggregates, lambdas with captures and results of conditional
operators in an expression that is awaited. They have to be named before the expression.

Whether a type is an aggregate can't be seen in the text, so braces are allowed only for the listed types.
Usage: Meta/check_awaited_arguments.py [FILE...]; without files, all sources of the repository.
"""
import re
import subprocess
import sys

TOKEN = re.compile(
    r"//[^\n]*|/\*.*?\*/|R\"(\w*)\(.*?\)\1\"|\"(?:\\.|[^\"\\])*\"|'(?:\\.|[^'\\])*'|\d[\w'.]*|[A-Za-z_]\w*|::|->|\S", re.DOTALL
)
TRIVIAL_TYPES = {"milliseconds", "seconds"}
OPENING = {"(", "[", "{"}
CLOSING = {")", "]", "}"}


def tokenize(text):
    tokens = []
    line = 1
    position = 0
    for match in TOKEN.finditer(text):
        line += text.count("\n", position, match.start())
        position = match.start()
        if not match.group().startswith(("//", "/*")):
            tokens.append((match.group(), line))
    return tokens


def match_brackets(tokens):
    partner = {}
    open_brackets = []
    for index, (token, _) in enumerate(tokens):
        if token in OPENING:
            open_brackets.append(index)
        elif token in CLOSING and open_brackets:
            partner[index] = open_brackets.pop()
            partner[partner[index]] = index
    return partner


def statement_around(tokens, partner, index):
    """Returns the first and the last token of the statement, or of the condition, that holds the token."""
    first = index
    while first > 0:
        token = tokens[first - 1][0]
        if token in (";", "{"):
            break
        if token == "}" and tokens[first][0] not in (",", ")", ".", "?", ":"):
            break
        first = partner.get(first - 1, first - 1) if token in CLOSING else first - 1
    last = index
    while last < len(tokens) and tokens[last][0] not in (";", "}"):
        last = partner[last] + 1 if tokens[last][0] in OPENING and last in partner else last + 1
    return first, last


def find_faults(text):
    tokens = tokenize(text)
    partner = match_brackets(tokens)
    faults = set()
    for awaited in (index for index, (token, _) in enumerate(tokens) if token == "co_await"):
        index, last = statement_around(tokens, partner, awaited)
        start = index
        while index < last:
            token, line = tokens[index]
            before = tokens[index - 1][0] if index > start else ""
            if token == "[" and before in ("(", ",", "=", "return", "{"):
                captures = partner[index] > index + 1
                body = partner[index] + 1
                while tokens[body][0] != "{":
                    body = partner[body] + 1 if tokens[body][0] == "(" else body + 1
                if captures and not body < awaited < partner[body]:
                    faults.add((line, "lambda with captures"))
                index = partner[body]
            elif token == "{" and before != "" and before not in TRIVIAL_TYPES:
                if before in ("(", ",", "{", ">", "return", "co_return") or re.match(r"[A-Za-z_]", before):
                    faults.add((line, "braces"))
            elif token == "?":
                faults.add((line, "conditional operator"))
            index += 1
    return sorted(faults)


def main():
    files = sys.argv[1:]
    if not files:
        listed = ["git", "ls-files", "--cached", "--others", "--exclude-standard", "--", "*.cpp", "*.h"]
        files = subprocess.run(listed, capture_output=True, check=True, text=True).stdout.split()
        files = [name for name in files if not name.endswith("_generated.h")]
    found = False
    for name in files:
        with open(name, encoding="utf-8") as source:
            for line, fault in find_faults(source.read()):
                print(f"{name}:{line}: {fault} in an awaited expression")
                found = True
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
