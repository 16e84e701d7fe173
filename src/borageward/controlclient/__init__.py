"""Client for requests to the leader of the control replicas."""

from __future__ import annotations

from borageward.controlclient.client import ControlClient
from borageward.controlclient.factory import open_frame_client, open_grpc_client

__all__ = ('ControlClient', 'open_frame_client', 'open_grpc_client')
