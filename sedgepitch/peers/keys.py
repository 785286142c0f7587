"""The key file, and the tag that every datagram and frame carries.

A key file has one key a line, 64 to 128 hexadecimal digits; lines that begin with # are comments. The first
key tags what is sent, all of them are taken, so that a key is changed by adding the new one everywhere, then
putting it first, then removing the old one.
"""

from __future__ import annotations

import hashlib
import hmac
import os
import secrets
import stat
from pathlib import Path

VERSION = 1
TAG = 16  # bytes
MOST_KEYS = 4
PERSON = b"sedgepitch peers"


class KeyFileError(ValueError):
    """A key file that cannot be used; one line that names the place."""


class BadSeal(Exception):
    """Bytes that no holder of a key wrote, or of a version that is not spoken here."""


class Sealer:
    """Tags and checks. `seal` returns version, tag and body."""

    def __init__(self, keys: list[bytes]) -> None:
        if not keys or any(not 32 <= len(key) <= 64 for key in keys):
            raise ValueError("a key has 32 to 64 bytes")
        self.keys = list(keys)

    def seal(self, body: bytes) -> bytes:
        """Return the body with its version and tag."""
        return bytes((VERSION,)) + self._tag(self.keys[0], body) + body

    def open(self, data: bytes) -> bytes:
        """Return the body; raises BadSeal."""
        if len(data) <= 1 + TAG:
            raise BadSeal("too short")
        if data[0] != VERSION:
            raise BadSeal(f"version {data[0]}, {VERSION} is spoken here")
        tag, body = data[1 : 1 + TAG], data[1 + TAG :]
        if not any(hmac.compare_digest(tag, self._tag(key, body)) for key in self.keys):
            raise BadSeal("the tag does not fit: another key, or damaged")
        return body

    def _tag(self, key: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=key, digest_size=TAG, person=PERSON).digest()


def load_keys(path: str | Path) -> Sealer:
    """Read a key file; raises KeyFileError."""
    try:
        with open(path, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            text = file.read(4096)
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror or error}") from None
    if stat.S_IMODE(mode) & 0o077:
        raise KeyFileError(
            f"{path}: others than its owner may use it (mode {stat.S_IMODE(mode):o}, wants 600)"
        )
    keys = []
    for number, line in enumerate(text.split(b"\n"), 1):
        line = line.strip()
        if not line or line.startswith(b"#"):
            continue
        try:
            key = bytes.fromhex(line.decode("ascii"))
        except ValueError:
            raise KeyFileError(f"{path}:{number}: not hexadecimal digits") from None
        if not 32 <= len(key) <= 64:
            raise KeyFileError(f"{path}:{number}: a key has 64 to 128 digits, this one {2 * len(key)}")
        keys.append(key)
    if not 0 < len(keys) <= MOST_KEYS:
        raise KeyFileError(f"{path}: {len(keys)} keys, wanted 1 to {MOST_KEYS}")
    return Sealer(keys)


def new_key_file(path: str | Path) -> None:
    """Write a file with a new key, for its owner alone; raises KeyFileError where there is one."""
    try:
        held = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror or error}") from None
    with os.fdopen(held, "w", encoding="ascii") as file:
        file.write(secrets.token_hex(32) + "\n")
