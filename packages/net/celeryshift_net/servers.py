"""HTTP servers whose connections and bodies take a bounded memory.

Whatever a client sends, in any framing and at any pace, a connection takes at
most ``connection_bytes`` and its share of the large heads and of the bodies.
"""

from celeryshift_net._bodies import Body
from celeryshift_net._bodies import BodyBudget
from celeryshift_net._bodies import BodyError
from celeryshift_net._bodies import BodyTooLargeError
from celeryshift_net._bodies import budget_bytes
from celeryshift_net._bodies import BusyError
from celeryshift_net._bodies import EncodedBodyError
from celeryshift_net._bodies import IncompleteBodyError
from celeryshift_net._connectiontable import ConnectionTable
from celeryshift_net._guard import Guard
from celeryshift_net._guard import Listener
from celeryshift_net._handshakes import Handshake
from celeryshift_net._limits import connection_bytes
from celeryshift_net._limits import Limits
from celeryshift_net._servers import handler_options
from celeryshift_net._servers import listen
from celeryshift_net._servers import ReportError
from celeryshift_net._servers import RequestFunction
from celeryshift_net._servers import RequestHandler
from celeryshift_net._servers import Server
from celeryshift_net._sockets import open_sockets

__all__ = [
    'Body',
    'BodyBudget',
    'BodyError',
    'BodyTooLargeError',
    'BusyError',
    'ConnectionTable',
    'EncodedBodyError',
    'Guard',
    'Handshake',
    'IncompleteBodyError',
    'Limits',
    'Listener',
    'ReportError',
    'RequestFunction',
    'RequestHandler',
    'Server',
    'budget_bytes',
    'connection_bytes',
    'handler_options',
    'listen',
    'open_sockets',
]
