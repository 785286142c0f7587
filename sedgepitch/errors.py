"""The exceptions of sedgepitch: a base class, and one subclass for each party that may cause an error.

A message names where the error occurred: the file and key, the connection, the endpoint or the peer.
"""


class SedgepitchError(Exception):
    """Base class of all errors that sedgepitch raises."""


class ConfigurationError(SedgepitchError):
    """Settings, environment variables or key files are invalid; the operator has to correct them."""


class ClientError(SedgepitchError):
    """A client violated its protocol."""


class EndpointError(SedgepitchError):
    """A database endpoint violated its protocol."""


class DiscoveryError(SedgepitchError):
    """The source of the endpoint list returned an invalid response."""


class PeerError(SedgepitchError):
    """Another proxy instance sent an invalid message."""
