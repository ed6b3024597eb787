"""Listeners whose connections take a bounded memory."""

from celeryshift_net._sockets import KERNEL_FACTOR
from celeryshift_net._sockets import open_sockets

__all__ = ['KERNEL_FACTOR', 'open_sockets']
