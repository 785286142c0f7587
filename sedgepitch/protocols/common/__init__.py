"""What the protocols share: flow control, connection numbers and times of arrival on Twisted's transports."""
