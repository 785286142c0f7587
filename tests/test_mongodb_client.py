"""Client connections of the MongoDB proxy: framing, reply order, limits and malformed input."""

from __future__ import annotations

import struct
import tracemalloc

import bson
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from sedgepitch.protocols.mongodb import codec
from sedgepitch.protocols.mongodb.codec import MalformedMessage
from tests.support.mongodb_harness import MongodbProxy, command, replies

PING = command(7, ping=1)


def insert(number: int, flags: int = 0, **fields) -> bytes:
    return command(number, flags, insert="readings", documents=[{"_id": number}], **fields)


def test_bytewise_and_pipelined_commands_are_answered_in_order():
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    for byte in command(1, ping=1) + command(2, hello=1) + command(3, buildInfo=1):
        connection.dataReceived(bytes([byte]))
        proxy.turn()
    connection.dataReceived(b"".join(command(n, ping=1) for n in range(4, 40)))
    proxy.turn(times=80)
    assert [number for number, _ in replies(transport)] == list(range(1, 40))


@pytest.mark.parametrize("length", [0, -1, 15, 48_000_001, 2**31 - 1])
def test_invalid_frame_length_closes_only_its_own_connection(length):
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    other, other_transport = proxy.client()
    connection.dataReceived(struct.pack("<iiii", length, 1, 0, 2013) + b"x" * 100)
    proxy.turn()
    assert transport.disconnecting
    assert connection.buffered == 0
    other.dataReceived(PING)
    proxy.turn()
    assert replies(other_transport)[0][1]["ok"] == 1.0


def test_awaitable_hello_waits_its_full_time_and_is_cancelled_on_disconnect():
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    connection.dataReceived(command(1, hello=1))
    proxy.turn()
    first_reply = replies(transport)[0][1]
    assert first_reply["msg"] == "isdbgrid"
    awaited = command(2, hello=1, topologyVersion=first_reply["topologyVersion"], maxAwaitTimeMS=10_000)
    connection.dataReceived(awaited)
    proxy.turn(9.9)
    assert len(replies(transport)) == 1
    proxy.turn(0.2)
    assert len(replies(transport)) == 2
    connection.dataReceived(awaited)
    proxy.turn()
    connection.connectionLost()
    proxy.turn(20.0)
    assert len(replies(transport)) == 2


def test_first_hello_is_accepted_as_op_query():
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    body = b"\0\0\0\0admin.$cmd\0" + struct.pack("<ii", 0, -1) + bson.encode({"isMaster": 1})
    connection.dataReceived(codec.HEADER.pack(16 + len(body), 3, 0, codec.OP_QUERY) + body)
    proxy.turn()
    data = transport.value()
    assert codec.HEADER.unpack_from(data)[2:] == (3, codec.OP_REPLY)
    assert bson.decode(data[36:])["msg"] == "isdbgrid"


def test_checksum_is_verified_in_requests_and_added_to_replies():
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    frame = command(1, codec.CHECKSUM, ping=1)
    connection.dataReceived(frame)
    proxy.turn()
    assert codec.parse(transport.value()).flags & codec.CHECKSUM
    connection.dataReceived(frame[:-1] + bytes([frame[-1] ^ 1]))
    assert transport.disconnecting


def test_unacknowledged_write_gets_no_reply_and_completes_its_request():
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    connection.dataReceived(insert(1, codec.MORE_TO_COME))
    proxy.turn()
    assert proxy.engine.request_table.pending == 1
    proxy.endpoints.sent[0].answer({"n": 1})
    proxy.turn()
    assert proxy.engine.request_table.pending == 0
    assert transport.value() == b""
    connection.dataReceived(PING)
    proxy.turn()
    assert [number for number, _ in replies(transport)] == [7]


def test_write_without_idempotency_key_gets_the_unsafe_class_variant():
    proxy = MongodbProxy()
    connection, _ = proxy.client()
    connection.dataReceived(insert(1))
    proxy.turn()
    entry = next(iter(proxy.engine.request_table.requests.values()))
    assert entry.request.class_name == "upload/unsafe"
    keyed, _ = proxy.client()
    lsid = {"id": bson.Binary(bytes(16), 4)}
    keyed.dataReceived(insert(2, lsid=lsid, txnNumber=bson.Int64(1)))
    proxy.turn()
    assert [e.request.class_name for e in proxy.engine.request_table.requests.values()][1] == "upload"


def test_read_ahead_is_bounded_and_commands_wait_while_replies_are_unread():
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    connection.dataReceived(insert(1))
    proxy.turn()
    connection.dataReceived(command(2, ping=1, pad="x" * 300_000))
    assert transport.producerState == "paused"
    proxy.endpoints.sent[0].answer()
    proxy.turn()
    assert transport.producerState == "producing"
    transport.producer.pauseProducing()  # the client does not read its replies
    connection.dataReceived(PING)
    proxy.turn()
    before = len(replies(transport))
    connection.dataReceived(PING * 10)
    proxy.turn()
    assert len(replies(transport)) == before
    transport.producer.resumeProducing()
    proxy.turn(times=40)
    assert len(replies(transport)) == before + 11 - (before == 3)


def upload(number: int, size: int) -> bytes:
    """Return an insert of about `size` bytes, or a ping, which is answered at once, for 0."""
    documents = [{"_id": number, "value": "x" * size}]
    return command(number, insert="readings", documents=documents) if size else command(number, ping=1)


class PipeliningClient:
    """A client that keeps up to `window` commands without a reply, and writes the next one after each reply.

    The proxy reads its socket only while reading is not paused.
    """

    def __init__(self, sizes: list[int], window: int, read_bytes: int) -> None:
        self.proxy = MongodbProxy()
        self.connection, self.transport = self.proxy.client()
        self.unwritten = [upload(number, size) for number, size in enumerate(sizes, 1)]
        self.count = len(sizes)
        self.window = window
        self.read_bytes = read_bytes
        self.unread = b""
        self.answered = 0

    def write(self) -> bool:
        """Write the next command if the window permits it; return whether one was written."""
        written = self.count - len(self.unwritten)
        if not self.unwritten or written - len(replies(self.transport)) >= self.window:
            return False
        self.unread += self.unwritten.pop(0)
        return True

    def read(self) -> bool:
        """Have the proxy read once; return whether it did."""
        if self.transport.producerState != "producing" or not self.unread:
            return False
        data, self.unread = self.unread[: self.read_bytes], self.unread[self.read_bytes :]
        self.connection.dataReceived(data)
        self.proxy.turn()
        return True

    def answer(self) -> bool:
        """Complete the executing command; return whether there was one."""
        if len(self.proxy.endpoints.sent) == self.answered:
            return False
        self.proxy.endpoints.sent[self.answered].answer()
        self.answered += 1
        self.proxy.turn(times=2 * self.count + 2)
        return True


# Guards against a pause of reading that outlasts the last buffered command: its client was never read again.
@given(
    sizes=st.lists(st.sampled_from((0, 1_000, 150_000, 300_000)), min_size=1, max_size=8),
    window=st.integers(1, 8),
    read_bytes=st.sampled_from((16 * 1024, 64 * 1024)),
    order=st.randoms(),
)
@example(sizes=[1_000, 300_000, 0], window=2, read_bytes=64 * 1024, order=None)
def test_every_pipelined_command_gets_its_reply_in_any_order_of_events(sizes, window, read_bytes, order):
    client = PipeliningClient(sizes, window, read_bytes)
    steps = [client.write, client.read, client.answer]
    while len(replies(client.transport)) < len(sizes):
        if order is not None:
            order.shuffle(steps)
        assert any(step() for step in steps), "the socket is not read, and no command is executing"
    assert client.transport.producerState == "producing"
    assert [number for number, _ in replies(client.transport)] == list(range(1, len(sizes) + 1))


def test_rejected_and_failed_replies_have_the_code_and_labels_of_their_meaning():
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    connection.dataReceived(command(1, insert="readings", documents=[{}], maxTimeMS=100))
    proxy.turn()
    proxy.turn(0.1)
    proxy.turn(0.1)
    failed = replies(transport)[0][1]
    assert (failed["ok"], failed["code"], "errorLabels" in failed) == (0.0, 50, False)
    proxy.engine.stopping = True
    connection.dataReceived(command(2, insert="readings", documents=[{}]))
    proxy.turn()
    rejected = replies(transport)[1][1]
    assert {"RetryableError", "SystemOverloadedError", "NoWritesPerformed"} <= set(rejected["errorLabels"])


def test_forwarded_read_gets_primary_preferred_and_is_otherwise_unchanged():
    proxy = MongodbProxy()
    connection, _ = proxy.client()
    connection.dataReceived(command(1, find="history", filter={"v": 1}, comment="history-read"))
    proxy.turn()
    body = bson.decode(codec.parse(codec.build_raw(proxy.endpoints.sent[0].payload.sections(), 1, 0)).body)
    assert body.pop("$readPreference") == {"mode": "primaryPreferred"}
    assert body == {"find": "history", "filter": {"v": 1}, "comment": "history-read", "$db": "sky"}


def malformed_frames() -> st.SearchStrategy[bytes]:
    """Generate damaged valid frames, malformed frames and random bytes."""
    valid = st.sampled_from([PING, insert(1), command(3, find="x", filter={"a": {"b": [1, {"c": 2}]}})])
    damaged = st.builds(
        lambda frame, offset, byte: (
            frame[: offset % len(frame)] + bytes([byte]) + frame[offset % len(frame) + 1 :]
        ),
        valid,
        st.integers(0, 500),
        st.integers(0, 255),
    )
    compressed = st.builds(
        lambda kind, size, data: codec.HEADER.pack(25 + len(data), 1, 0, codec.OP_COMPRESSED)
        + struct.pack("<iiB", codec.OP_MSG, size, kind)
        + data,
        st.integers(0, 5),
        st.integers(-5, 2**31 - 1),
        st.binary(max_size=60),
    )
    framed = st.builds(
        lambda opcode, data: codec.HEADER.pack(16 + len(data), 1, 0, opcode) + data,
        st.sampled_from([codec.OP_MSG, codec.OP_QUERY, codec.OP_COMPRESSED, 1, 99]),
        st.binary(max_size=80),
    )
    return st.one_of(damaged, compressed, framed, st.binary(min_size=1, max_size=100))


@settings(max_examples=400, deadline=None)
@given(st.lists(malformed_frames(), min_size=1, max_size=4), st.integers(1, 40))
def test_malformed_input_does_not_affect_another_client(frames, chunk_bytes):
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    other, other_transport = proxy.client()
    other.dataReceived(insert(5))
    proxy.turn()
    data = b"".join(frames)
    for offset in range(0, len(data), chunk_bytes):
        if not transport.disconnecting:
            connection.dataReceived(data[offset : offset + chunk_bytes])
        proxy.turn()
    assert connection.buffered <= len(data)
    proxy.endpoints.sent[0].answer({"n": 1})
    proxy.turn()
    assert replies(other_transport) == [(5, {"ok": 1.0, "n": 1})]
    assert proxy.engine.request_table.duplicate_responses == 0


@settings(max_examples=300, deadline=None)
@given(malformed_frames())
def test_codec_raises_only_malformed_message(frame):
    if len(frame) >= 16:
        try:
            codec.parse(frame)
        except MalformedMessage as error:
            assert "\n" not in str(error)


@pytest.mark.parametrize("compressor", [1, 2, 3])
def test_compressed_frames_round_trip_and_decompression_bombs_are_rejected(compressor):
    frame = command(9, ping=1, pad="smoke " * 50)
    compressed = codec.compress(frame, compressor)
    assert codec.parse(compressed).body == codec.parse(frame).body
    bomb = codec.compress(codec.build_raw(bytes(5_000_000), 1, 0), compressor)
    wrong_size = bomb[:20] + struct.pack("<i", 100) + bomb[24:]
    with pytest.raises(MalformedMessage):
        codec.parse(wrong_size)


def many_short_fields(count: int) -> bytes:
    """Return a ping with this number of further fields of three bytes."""
    head, tail = bson.encode({"ping": 1}), bson.encode({"$db": "sky"})
    elements = head[4:-1] + b"\x0aa\0" * count + tail[4:-1]
    return codec.build(struct.pack("<i", len(elements) + 5) + elements + b"\0", 1, 0)


# Guards against commands of very many short fields, which cost a hundred times their bytes (a29244).
def test_a_command_of_very_many_fields_is_refused_without_a_record_of_each():
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    frame = many_short_fields(300_000)
    tracemalloc.start()
    try:
        connection.dataReceived(frame)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert [reply["code"] for _, reply in replies(transport)] == [22]
    assert peak_bytes < 5 * len(frame)
    connection.dataReceived(many_short_fields(100))
    proxy.turn()
    assert [reply["ok"] for _, reply in replies(transport)] == [0, 1]


def test_a_sequence_of_more_documents_than_a_batch_may_have_is_refused():
    documents = (5).to_bytes(4, "little") + b"\0"
    sequence = b"documents\0" + documents * (codec.WRITE_BATCH_MAX + 1)
    body = bson.encode({"insert": "log", "$db": "sky"})
    sections = b"\0" + body + b"\x01" + struct.pack("<i", len(sequence) + 4) + sequence
    with pytest.raises(codec.MalformedMessage, match="more than"):
        codec.parse(codec.build_raw(sections, 1, 0))


# Guards against commands of a client that has left, which were sent on behind much unread input (a29244).
def test_buffered_commands_of_a_client_that_has_left_are_not_executed():
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    documents = [{"_id": "x" * 100_000}]
    for number in range(1, 6):
        connection.dataReceived(command(number, insert="log", documents=documents))
    proxy.turn()
    assert len(proxy.endpoints.sent) == 1 and connection.reads_paused
    transport.left = True  # its end lies behind what is not read
    proxy.endpoints.sent[0].answer()
    proxy.turn()
    assert len(proxy.endpoints.sent) == 1 and transport.disconnecting
