"""JSON objects out of lines: one a line, indented, and what can be neither."""

import json

import pytest

from swiftthread.client.json_stream import MAX_OBJECT_BYTES, JsonAssembler

PAGE = {"version": 3, "full": True, "servers": [{"id": "s-1", "cell": 0}, {"id": "s-2", "weight": 4.0}]}


def assemble(text):
    assembler = JsonAssembler()
    pages = [assembler.add(line) for line in text.encode().split(b"\n")[:-1]]
    return [page for page in pages if page is not None]


@pytest.mark.parametrize("indent", [None, 0, 1, 4, "\t"])
def test_objects_come_one_a_line_or_indented(indent):
    text = json.dumps(PAGE, indent=indent)
    assert assemble(f"\n{text}\n\n  {text}  \n") == [PAGE, PAGE]


@pytest.mark.parametrize(
    "text",
    [
        '{"version": 7, "servers": [{"id"\n\n',
        '{"version": 7\n{"version": 8, "servers": []}\n',
        "7\n",
        "[]\n",
        '[{"servers": []}]\n',
        "HTTP/1.1 200 OK\n",
        "}\n",
        '{"a": }\n',
        "{\n" + '"a": 1,\n' * (MAX_OBJECT_BYTES // 8),
    ],
)
def test_what_can_be_no_object_is_an_error_at_once(text):
    with pytest.raises(ValueError):
        assemble(text)
