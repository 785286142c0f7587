"""The key file, and the authentication of datagrams and frames.

A key file has one key per line, 64 to 128 hexadecimal digits; lines that begin with # are comments. Sent
messages are authenticated with the first key; received ones may use any of the keys. To rotate a key, add the
new one on all hosts, then move it to the first line, then remove the old one.
"""

from __future__ import annotations

import hashlib
import hmac
import os
import secrets
import stat
from pathlib import Path

from sedgepitch.errors import ConfigurationError, PeerError

VERSION = 1
TAG_BYTES = 16
KEY_BYTES_MIN = 32
KEY_BYTES_MAX = 64  # the maximum of BLAKE2b
MAX_KEYS = 4
MAX_FILE_BYTES = 4096
PERSONALIZATION = b"sedgepitch peers"
OTHERS_PERMISSIONS = 0o077
OWNER_ONLY = 0o600


class KeyFileError(ConfigurationError, ValueError):
    """A key file that cannot be used; the text is one line with file and line number."""


class KeyLengthError(ConfigurationError, ValueError):
    """There is no key, or a key has an unsupported length."""


class AuthenticationError(PeerError):
    """Bytes that were not sealed with a known key, or that have an unsupported version."""


class Authenticator:
    """Adds and checks the version byte and the keyed BLAKE2b tag."""

    def __init__(self, keys: list[bytes]) -> None:
        """Seal with the first key, and accept messages sealed with any of them. Raises KeyLengthError."""
        if not keys or any(not KEY_BYTES_MIN <= len(key) <= KEY_BYTES_MAX for key in keys):
            raise KeyLengthError(f"a key has {KEY_BYTES_MIN} to {KEY_BYTES_MAX} bytes")
        self._keys = list(keys)

    def seal(self, body: bytes) -> bytes:
        """Return version, tag and body."""
        return bytes((VERSION,)) + self._tag(self._keys[0], body) + body

    def open(self, data: bytes) -> bytes:
        """Verify version and tag, and return the body; raises AuthenticationError."""
        if len(data) <= 1 + TAG_BYTES:
            raise AuthenticationError("too short")
        if data[0] != VERSION:
            raise AuthenticationError(f"version {data[0]}, but version {VERSION} is required")
        tag = data[1 : 1 + TAG_BYTES]
        body = data[1 + TAG_BYTES :]
        if not any(hmac.compare_digest(tag, self._tag(key, body)) for key in self._keys):
            raise AuthenticationError("the tag does not fit: another key, or damaged")
        return body

    def _tag(self, key: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=key, digest_size=TAG_BYTES, person=PERSONALIZATION).digest()


def load_keys(path: str | Path) -> Authenticator:
    """Read a key file; raises KeyFileError."""
    text = _read_private(path)
    keys = []
    for number, line in enumerate(text.split(b"\n"), 1):
        digits = line.strip()
        if digits and not digits.startswith(b"#"):
            keys.append(_parse_key(f"{path}:{number}", digits))
    if not 0 < len(keys) <= MAX_KEYS:
        raise KeyFileError(f"{path}: {len(keys)} keys, expected 1 to {MAX_KEYS}")
    return Authenticator(keys)


def new_key_file(path: str | Path) -> None:
    """Create a file with a new random key and mode 600; raises KeyFileError if the file exists."""
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, OWNER_ONLY)
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror or error}") from None
    with os.fdopen(descriptor, "w", encoding="ascii") as file:
        file.write(secrets.token_hex(KEY_BYTES_MIN) + "\n")


def _read_private(path: str | Path) -> bytes:
    """Return up to MAX_FILE_BYTES of a file; raises KeyFileError if group or others have access to it."""
    try:
        with open(path, "rb") as file:
            mode = stat.S_IMODE(os.fstat(file.fileno()).st_mode)
            text = file.read(MAX_FILE_BYTES)
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror or error}") from None
    if mode & OTHERS_PERMISSIONS:
        raise KeyFileError(
            f"{path}: accessible to others than its owner (mode {mode:o}, expected {OWNER_ONLY:o})"
        )
    return text


def _parse_key(location: str, digits: bytes) -> bytes:
    try:
        key = bytes.fromhex(digits.decode("ascii"))
    except ValueError:
        raise KeyFileError(f"{location}: not hexadecimal digits") from None
    if not KEY_BYTES_MIN <= len(key) <= KEY_BYTES_MAX:
        digits_min, digits_max = 2 * KEY_BYTES_MIN, 2 * KEY_BYTES_MAX
        raise KeyFileError(
            f"{location}: a key has {digits_min} to {digits_max} digits, this one {2 * len(key)}"
        )
    return key
