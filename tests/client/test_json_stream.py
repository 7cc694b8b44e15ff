"""JSON objects assembled from lines: one object per line, indented objects, and malformed input."""

import json

import pytest

from swiftthread.client.json_stream import MAX_OBJECT_BYTES, JsonAssembler, MalformedJsonStream

LIST_DOCUMENT = {
    "version": 3,
    "full": True,
    "servers": [{"id": "s-1", "cell": 0}, {"id": "s-2", "weight": 4.0}],
}


def assemble(text):
    assembler = JsonAssembler()
    objects = [assembler.add(line) for line in text.encode().split(b"\n")[:-1]]
    return [decoded for decoded in objects if decoded is not None]


@pytest.mark.parametrize("indent", [None, 0, 1, 4, "\t"])
def test_an_object_takes_one_line_or_several_indented_lines(indent):
    text = json.dumps(LIST_DOCUMENT, indent=indent)
    assert assemble(f"\n{text}\n\n  {text}  \n") == [LIST_DOCUMENT, LIST_DOCUMENT]


@pytest.mark.parametrize("indent", [None, 4, 40])
def test_the_longest_object_is_measured_without_its_indentation(indent):
    """An indented list was refused for its size as long as the node ran."""
    lines = json.dumps(LIST_DOCUMENT, indent=indent).encode().split(b"\n")
    length = sum(len(line.strip()) + 1 for line in lines)
    assembler = JsonAssembler(length)
    assert [assembler.add(line) for line in lines][-1] == LIST_DOCUMENT
    with pytest.raises(MalformedJsonStream):
        [JsonAssembler(length - 1).add(line) for line in [b"".join(lines) + b" 1" * length]]


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
def test_lines_that_cannot_become_an_object_are_rejected_immediately(text):
    with pytest.raises(ValueError):
        assemble(text)
