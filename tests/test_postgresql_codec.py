"""The PostgreSQL codec and statement parser, without sockets: valid and malformed input."""

from __future__ import annotations

import contextlib
import struct
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.protocols.postgresql import codec, statements
from sedgepitch.protocols.postgresql.codec import MalformedMessage, Reader
from sedgepitch.protocols.postgresql.statements import StatementError
from tests.support.platform import upload_statement
from tests.support.router_harness import CLASSES

NAMED = {c.name: c for c in CLASSES}
READ = (
    b"SELECT payload FROM entries WHERE ref = '7f3a' "
    b"/* id=9b1f,c=session,d=480,cluster=2,after=1767225600123 */"
)
WRITE = (
    b"INSERT INTO entries (ref, payload) VALUES ('7f3a', '\\x9f03') RETURNING payload "
    b"/* id=9b1f,c=write,d=480.5,k=5c0f,cluster=2 */"
)


def complete_messages(reader: Reader) -> list[tuple[bytes, bytes]]:
    complete = []
    while (message := reader.next()) is not None:
        complete.append(message)
    return complete


@given(
    st.lists(
        st.sampled_from([codec.READY, codec.data_row(b"x" * 300), codec.complete("SELECT 1")]), max_size=6
    ),
    st.lists(st.integers(1, 40), max_size=30),
)
def test_messages_do_not_depend_on_how_the_stream_is_divided(messages, cuts):
    stream, reader, received = b"".join(messages), Reader(codec.FROM_ENDPOINT), []
    for size in [*cuts, len(stream) + 1]:
        piece, stream = stream[:size], stream[size:]
        if piece:
            reader.feed(piece)
            received += complete_messages(reader)
    assert [raw for _, raw in received] == messages
    assert not reader.buffered_bytes


@given(st.binary(max_size=200), st.sampled_from([codec.FROM_CLIENT, codec.FROM_ENDPOINT]))
def test_arbitrary_bytes_are_messages_or_one_error(data, bounds):
    reader = Reader(bounds)
    reader.feed(data)
    try:
        complete_messages(reader)
    except MalformedMessage as error:
        assert "\n" not in str(error)


@given(st.binary(max_size=80))
def test_arbitrary_first_bytes_are_a_startup_message_or_one_error(data):
    reader = Reader(codec.FROM_CLIENT)
    reader.feed(data)
    try:
        first = reader.startup()
        if first is not None and first[0] not in (codec.SSL_REQUEST, codec.GSS_REQUEST, codec.CANCEL_REQUEST):
            codec.startup_parameters(first[1])
    except MalformedMessage:
        pass


@pytest.mark.parametrize("length", [-1, 0, 3, codec.STATEMENT_BYTES_MAX + 1, 60_000_000, 2**31 - 1, -(2**31)])
def test_an_invalid_length_is_rejected_from_the_header_alone(length):
    reader = Reader(codec.FROM_CLIENT)
    reader.feed(struct.pack("!ci", b"Q", length))
    with pytest.raises(MalformedMessage):
        reader.next()


def test_a_startup_message_is_parsed_and_another_protocol_version_is_rejected():
    reader = Reader(codec.FROM_CLIENT)
    reader.feed(codec.startup("web", "orders") + codec.query(b""))
    code, body = reader.startup()
    assert code == codec.PROTOCOL_VERSION << 16
    assert codec.startup_parameters(body) == {"user": "web", "database": "orders"}
    assert reader.next() == (b"Q", codec.query(b""))
    reader = Reader(codec.FROM_CLIENT)
    reader.feed(struct.pack("!ii", 8, 2 << 16))
    with pytest.raises(MalformedMessage):
        reader.startup()


def test_an_error_response_has_its_fields():
    fields = codec.read_error(codec.error("53300", "no room", "250"))
    assert (fields["C"], fields["D"], fields["S"]) == ("53300", "250", "ERROR")


def test_only_rows_of_one_value_are_accepted():
    assert codec.one_value(codec.data_row(b"abc")) == b"abc"
    two_columns = codec.message(b"D", b"\0\2" + 2 * (struct.pack("!i", 1) + b"x"))
    negative_length = codec.message(b"D", b"\0\1" + struct.pack("!i", 3_000_000_000 - 2**32) + b"x")
    assert codec.one_value(two_columns) is codec.one_value(negative_length) is None
    assert codec.column_count(codec.row_description()) == 1
    assert codec.column_count(codec.message(b"T", b"\0\1payload")) == -1


def test_the_two_supported_statements_are_parsed():
    read = statements.read(READ, NAMED)
    assert (read.id, read.cls.name, read.writes, read.group) == (b"9b1f", "session", False, 2)
    assert (read.session, read.after, read.time_left) == ("7f3a", 1767225600123, 0.48)
    write = statements.read(WRITE, NAMED)
    assert (write.writes, write.time_left) == (True, 0.4805)


def test_forwarding_rewrites_only_the_time_left():
    for raw, d in ((READ, b"d=480"), (WRITE, b"d=480.5")):
        statement = statements.read(raw, NAMED)
        statement.deadline = 10.1234
        assert statement.text(10.0) == raw.replace(d, b"d=123")
        assert statement.text(11.0) == raw.replace(d, b"d=1"), "at least 1 ms"


BAD = [
    b"SELECT 1",
    READ + b";",
    READ[:-3],
    READ.replace(b"entries", b"other"),
    READ.replace(b"'7f3a'", b"'7f3a' OR 1=1"),
    READ.replace(b"7f3a", b"7f'3a"),
    READ.replace(b"id=9b1f,", b""),
    READ.replace(b"id=9b1f", b"id="),
    READ.replace(b"c=session", b"c=nothing"),
    READ.replace(b"c=session", b"c=write"),
    READ.replace(b"d=480", b"d=480,d=480"),
    READ.replace(b"cluster=2", b"cluster=x"),
    READ.replace(b"cluster=2", b"cluster=99999999999"),
    READ.replace(b"after=1767225600123", b"after=-5"),
    READ.replace(b",cluster=2", b",k=5c0f,cluster=2"),
    READ.replace(b",cluster=2", b",surprise=2"),
    WRITE.replace(b",k=5c0f", b""),
    WRITE.replace(b"\\x9f03", b"\\x9f0"),
    WRITE.replace(b"\\x9f03", b"plain"),
    READ.replace(b"480", b"\xff\xfe"),
    *[
        READ.replace(b"d=480", b"d=" + d)
        for d in (b"nan", b"inf", b"-1", b"0", b"1e9", b"1" + 400 * b"0", b"")
    ],
]


@pytest.mark.parametrize("raw", BAD)
def test_an_unsupported_statement_raises_a_one_line_error(raw):
    with pytest.raises(StatementError) as error:
        statements.read(raw, NAMED)
    assert str(error.value) and "\n" not in str(error.value)


@given(st.binary(max_size=120), st.integers(0, 150))
def test_a_damaged_statement_is_rejected_or_forwarded_unchanged(noise, at):
    raw = READ[:at] + noise + READ[at:]
    try:
        statement = statements.read(raw, NAMED)
    except StatementError:
        return
    middle = raw[len(statement.head) : len(raw) - len(statement.tail)]
    assert raw == statement.head + middle + statement.tail and statement.head.endswith((b",d=", b" d="))
    assert float(middle) / 1000.0 == statement.time_left and statement.id in raw


# Guards against a match that needs 90 times the memory of a statement, and holds the event loop (a29244).
@pytest.mark.parametrize("name", ["write", "no-such-class"])
def test_reading_the_largest_statement_takes_little_more_memory_than_its_text(name):
    text = upload_statement(1, codec.VALUE_BYTES_MAX, name)
    tracemalloc.start()
    try:
        with contextlib.suppress(StatementError):
            statements.read(text, NAMED)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < 2 * len(text)


def test_a_value_of_an_odd_number_of_digits_is_not_served():
    assert statements.read(WRITE, NAMED).writes
    with pytest.raises(StatementError):
        statements.read(WRITE.replace(b"9f03", b"9f0"), NAMED)


# Guards against start-up messages of very many short fields, which cost far more than their bytes (a29244).
def test_a_startup_message_of_very_many_parameters_is_refused_without_being_parsed():
    body = b"a\0\0" * 3000 + b"\0"
    tracemalloc.start()
    try:
        with pytest.raises(MalformedMessage):
            codec.startup_parameters(body)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < len(body)
    some = b"".join(b"name%d\0value\0" % number for number in range(codec.STARTUP_PARAMETERS_MAX))
    assert len(codec.startup_parameters(some + b"\0")) == codec.STARTUP_PARAMETERS_MAX
