#!/usr/bin/env python3
"""Guards against entries that ended with a corrupted heap, because an argument of an awaited call was destroyed twice.

Usage: check_test.py FOLDER, which holds check_awaited_arguments.py.
"""
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, sys.argv[1])
import check_awaited_arguments  # noqa: E402

BRACES = "braces"
CAPTURES = "lambda with captures"
CONDITIONAL = "conditional operator"

# Source, and the faults that are expected in it.
CASES = [
    ("co_await call(value);", []),
    ("co_await call(std::move(value), make(1));", []),
    ("co_await call({});", [BRACES]),
    ("auto result = co_await call(aggregate{1, text});", [BRACES]),
    ("auto result = co_await call(std::pair<int, text>{1, value});", [BRACES]),
    ("co_await pause(base::milliseconds{20});", []),
    ("co_await call(plain({1, value}));", [BRACES]),
    ("co_await call(wanted ? first : second);", [CONDITIONAL]),
    ("auto result = wanted ? co_await first() : co_await second();", [CONDITIONAL]),
    ("co_await call([value] { return value; });", [CAPTURES]),
    ("co_await call([] { return 1; });", []),
    ("spawn(context, [self]() -> awaitable<void> { co_await self->run(); });", []),
    ("spawn(context, [self]() -> awaitable<void> { co_await self->run({}); });", [BRACES]),
    ("if (co_await call({}))\n    return_early();", [BRACES]),
    ("if (wanted) { co_await call(value); }\nauto const other = wanted ? first : second;", []),
    ("co_return aggregate{1, text};", []),
    ("// co_await call({});", []),
    ('co_await call("co_await {}");', []),
    ("BOOST_OUTCOME_CO_TRY(auto const part, co_await read({}, limit));", [BRACES]),
]


def main():
    failed = 0
    for source, expected in CASES:
        found = [fault for _, fault in check_awaited_arguments.find_faults(source)]
        if found != expected:
            print(f"{source}\n    expected {expected}, found {found}")
            failed += 1
    print(f"{len(CASES) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
