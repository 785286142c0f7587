"""The exception of scenarios that cannot run."""

from sedgepitch.errors import SedgepitchError


class ScenarioError(SedgepitchError):
    """The scenario cannot run; the message is one line with the reason."""
