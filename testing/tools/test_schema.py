"""Tests of the Protobuf code generator."""

from tools import schema


def test_generated_code_is_current():
    """Guards against a schema change without regenerated code."""
    assert schema.main(["--check"]) == 0


def test_difference_is_found(tmp_path, monkeypatch):
    """Guards against a check that misses changed, absent or extra files."""
    monkeypatch.setattr(schema, "OUTPUT_DIR", tmp_path)
    (tmp_path / "old_pb2.py").write_text("")
    (tmp_path / "work_pb2.py").write_text("# old")
    assert schema.find_differences({"work_pb2.py": "# new", "a.py": ""}) == [
        "work_pb2.py differs from the schema",
        "a.py is missing",
        "old_pb2.py has no schema file",
    ]
