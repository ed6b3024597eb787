"""Many small HTTP/1.1 calls to many addresses, without TLS.

The channels have the contract of `exchanges`, as those of `pools` have, at a
fraction of the processor time. Calls with TLS use `pools`.
"""

from celeryshift_net._channels import Channel
from celeryshift_net._channels import ChannelPool

__all__ = [
    'Channel',
    'ChannelPool',
]
