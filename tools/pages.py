"""Writing and checking of generated pages."""

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

    Returns the exit code: 1 when the page differs. ``module`` is the
    program that a reader of the message has to run.
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
