"""The errors of sedgepitch: one base class, and a family for each party whose fault an error is.

A message names the place: the file and key, the connection, the endpoint or the peer.
"""


class SedgepitchError(Exception):
    """Base class of all errors that sedgepitch raises."""


class ConfigurationError(SedgepitchError):
    """Settings, environment or key files cannot be used; the operator has to change them."""


class ClientError(SedgepitchError):
    """A client sent what its protocol does not allow."""


class EndpointError(SedgepitchError):
    """A database endpoint answered what its protocol does not allow."""


class DiscoveryError(SedgepitchError):
    """The source of the endpoint list answered what cannot be understood."""


class PeerError(SedgepitchError):
    """Another proxy instance sent what cannot be accepted."""
