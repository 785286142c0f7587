"""Default for optional callbacks."""


def ignore(*_arguments: object, **_fields: object) -> None:
    """Do nothing."""
