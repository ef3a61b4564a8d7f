"""Generate the Protobuf code in ``_jasminewind.api.pb`` (``make schema``).

``python -m tools.schema --check`` generates into a temporary directory and
exits with 1 when the committed code differs.
"""

import argparse
import pathlib
import sys
import tempfile

from grpc_tools import protoc

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA_DIR = ROOT / "schema"
OUTPUT_DIR = ROOT / "src" / "_jasminewind" / "api" / "pb"
PROTO_PACKAGE = "jasminewind.v1"
PYTHON_PACKAGE = "_jasminewind.api.pb"
INIT_FILE_TEXT = (
    '"""Generated from `schema/`; regenerate with `make schema`."""\n'
)


def generate_files() -> dict[str, str]:
    """Run protoc and return the text of each generated file by name."""
    # grpcio-tools bundles the schema files of Protobuf's well-known types.
    bundled = pathlib.Path(protoc.__file__).parent / "_proto"
    protos = sorted(str(p) for p in SCHEMA_DIR.rglob("*.proto"))
    plugin = pathlib.Path(sys.executable).parent / "protoc-gen-mypy"
    with tempfile.TemporaryDirectory() as out:
        exit_code = protoc.main(
            [
                "protoc",
                f"--proto_path={SCHEMA_DIR}",
                f"--proto_path={bundled}",
                f"--plugin=protoc-gen-mypy={plugin}",
                f"--python_out={out}",
                f"--mypy_out={out}",
                *protos,
            ]
        )
        if exit_code != 0:
            raise SystemExit(f"protoc failed with exit code {exit_code}")
        files = sorted(pathlib.Path(out).rglob("*_pb2.py*"))
        texts = {f.name: rewrite_imports(f.read_text()) for f in files}
    texts["__init__.py"] = INIT_FILE_TEXT
    return texts


def rewrite_imports(text: str) -> str:
    """Make generated imports refer to the private package.

    protoc derives imports from the directories of the schema, but the
    package ``jasminewind`` is the public one.
    """
    text = text.replace(
        f"from {PROTO_PACKAGE} import", f"from {PYTHON_PACKAGE} import"
    )
    return text.replace(
        f"import {PROTO_PACKAGE}.", f"import {PYTHON_PACKAGE}."
    )


def find_differences(texts: dict[str, str]) -> list[str]:
    """Describe each committed file that is missing, outdated or extra."""
    differences = []
    for name, text in texts.items():
        path = OUTPUT_DIR / name
        if not path.exists():
            differences.append(f"{name} is missing")
        elif path.read_text() != text:
            differences.append(f"{name} differs from the schema")
    for path in sorted(OUTPUT_DIR.glob("*.py*")):
        if path.name not in texts:
            differences.append(f"{path.name} has no schema file")
    return differences


def main(arguments: list[str] | None = None) -> int:
    """Write or check the generated code; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args(arguments)
    texts = generate_files()
    if options.check:
        differences = find_differences(texts)
        for line in differences:
            print(f"{line}; run `make schema`", file=sys.stderr)
        return 1 if differences else 0
    OUTPUT_DIR.mkdir(exist_ok=True)
    for path in OUTPUT_DIR.glob("*_pb2.py*"):
        path.unlink()
    for name, text in texts.items():
        (OUTPUT_DIR / name).write_text(text)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
