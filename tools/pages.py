"""Write generated documentation pages, or check that they are current."""

import argparse
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def write_or_check(
    arguments: list[str] | None,
    *,
    page: pathlib.Path,
    text: str,
    module: str,
    description: str | None,
) -> int:
    """Write ``text`` to ``page``, or check it with ``--check``.

    Returns the exit code: 1 when the page differs. The error names
    ``module`` as the program that regenerates the page.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args(arguments)
    if not options.check:
        page.write_text(text)
        return 0
    if page.exists() and page.read_text() == text:
        return 0
    print(
        f"{page.relative_to(ROOT)} is not current; run `python -m {module}`",
        file=sys.stderr,
    )
    return 1
