"""HTTP/1.1 client and server on trio streams; h11 parses the protocol."""

from __future__ import annotations

from borageward.http.client import HttpClient
from borageward.http.connection import HttpConnection, HttpReply
from borageward.http.messages import HttpLimits, HttpRequest, HttpResponse
from borageward.http.server import HttpServer

__all__ = (
    'HttpClient',
    'HttpConnection',
    'HttpLimits',
    'HttpReply',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
)
