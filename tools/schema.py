"""Generate the Python code of the schema: ``make schema``.

``python -m tools.schema --check`` generates into a temporary directory and
exits with 1 when the committed code differs.
"""

import argparse
import pathlib
import sys
import tempfile

from grpc_tools import protoc

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schema"
TARGET = ROOT / "src" / "_jasminewind" / "api" / "pb"
PROTO_PACKAGE = "jasminewind.v1"
PYTHON_PACKAGE = "_jasminewind.api.pb"
INIT_TEXT = '"""Generated from `schema/`; regenerate with `make schema`."""\n'


def generate() -> dict[str, str]:
    """Return the text of each generated file by its name."""
    # Protobuf's own types are part of grpcio-tools.
    bundled = pathlib.Path(protoc.__file__).parent / "_proto"
    protos = sorted(str(p) for p in SCHEMA.rglob("*.proto"))
    plugin = pathlib.Path(sys.executable).parent / "protoc-gen-mypy"
    with tempfile.TemporaryDirectory() as out:
        code = protoc.main(
            [
                "protoc",
                f"--proto_path={SCHEMA}",
                f"--proto_path={bundled}",
                f"--plugin=protoc-gen-mypy={plugin}",
                f"--python_out={out}",
                f"--mypy_out={out}",
                *protos,
            ]
        )
        if code != 0:
            raise SystemExit(f"protoc failed with exit code {code}")
        files = sorted(pathlib.Path(out).rglob("*_pb2.py*"))
        texts = {f.name: relocate(f.read_text()) for f in files}
    texts["__init__.py"] = INIT_TEXT
    return texts


def relocate(text: str) -> str:
    """Return ``text`` with imports from the private package.

    protoc derives Python imports from the schema's directories, and the
    package ``jasminewind`` is the public one.
    """
    text = text.replace(
        f"from {PROTO_PACKAGE} import", f"from {PYTHON_PACKAGE} import"
    )
    return text.replace(
        f"import {PROTO_PACKAGE}.", f"import {PYTHON_PACKAGE}."
    )


def differences(texts: dict[str, str]) -> list[str]:
    """Return a line for each committed file that is not current."""
    found = []
    for name, text in texts.items():
        path = TARGET / name
        if not path.exists():
            found.append(f"{name} is missing")
        elif path.read_text() != text:
            found.append(f"{name} differs from the schema")
    for path in sorted(TARGET.glob("*.py*")):
        if path.name not in texts:
            found.append(f"{path.name} has no schema file")
    return found


def main(arguments: list[str] | None = None) -> int:
    """Generate or check; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args(arguments)
    texts = generate()
    if options.check:
        found = differences(texts)
        for line in found:
            print(f"{line}; run `make schema`", file=sys.stderr)
        return 1 if found else 0
    TARGET.mkdir(exist_ok=True)
    for path in TARGET.glob("*_pb2.py*"):
        path.unlink()
    for name, text in texts.items():
        (TARGET / name).write_text(text)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
