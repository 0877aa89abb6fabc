"""HTTP client of the platform's configuration service."""

from urllib.parse import quote, urlencode

import pycurl
from expression import Error, Ok, Result
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.settings.model import PlatformSettings
from foxtailway.source.http_pool import HttpPool
from foxtailway.source.reader import ChangeSet, SourceReader, SourceValue
from foxtailway.source.response import parse_change_set, parse_revision

__all__ = ["HttpSourceReader"]

MAX_RESPONSE_SIZE_BYTES = 1_048_576
# Maximum number of calls in flight.
N_CONNECTIONS = 16
KINDS_BY_CURL_ERROR = {
    pycurl.E_OPERATION_TIMEDOUT: FailureKind.TIMEOUT,
    pycurl.E_WRITE_ERROR: FailureKind.TOO_LARGE,
}
KINDS_BY_STATUS = {
    413: FailureKind.TOO_LARGE,
    429: FailureKind.RATE_LIMITED,
}


class HttpSourceReader(SourceReader):
    """Read and watch the platform's store with curl.

    Parameters
    ----------
    settings : PlatformSettings
        URL of the service and timeout of a call.
    source_address : str or None, default=None
        Local IP address from which connections are made.
    max_response_size : int, default=1048576
        Largest accepted response body after decompression, in bytes.

    Attributes
    ----------
    n_calls : int
        Number of calls made; a watch is one call.
    """

    def __init__(
        self,
        *,
        settings: PlatformSettings,
        source_address: str | None = None,
        max_response_size: int = MAX_RESPONSE_SIZE_BYTES,
    ) -> None:
        self.settings = settings
        self.source_address = source_address
        self.pool = HttpPool(
            n_connections=N_CONNECTIONS, max_body_size=max_response_size
        )
        self.url = settings.url.rstrip("/")
        self.n_calls = 0

    async def list_changes(
        self, *, prefix: str, since: int, wait_s: float
    ) -> Result[ChangeSet, Failure]:
        """Return the keys with a prefix that changed after revision `since`."""
        step = Step.SOURCE_WATCH if wait_s > 0 else Step.SOURCE_READ
        query = urlencode({"prefix": prefix, "since": since, "wait": wait_s})
        fetched = await self.fetch(f"/v1/changes?{query}", step=step, wait_s=wait_s)
        if fetched.is_error():
            return Error(fetched.error)
        changes = parse_change_set(fetched.ok.body)
        if changes is None:
            detail = "response is not a list of changes"
            return Error(self.make_failure(step, FailureKind.INVALID, detail))
        return Ok(changes)

    async def read_value(self, *, key: str) -> Result[SourceValue | None, Failure]:
        """Return the newest value of `key`; None if the key does not exist."""
        step = Step.SOURCE_READ
        fetched = await self.fetch(f"/v1/values/{quote(key)}", step=step, wait_s=0.0)
        if fetched.is_error():
            return Error(fetched.error)
        if fetched.ok.code == 404:
            return Ok(None)
        revision = parse_revision(fetched.ok.headers.get("X-Revision", ""))
        if revision is None:
            detail = f"response for {key} has no valid X-Revision header"
            return Error(self.make_failure(step, FailureKind.INVALID, detail))
        return Ok(SourceValue(key=key, revision=revision, content=fetched.ok.body))

    async def fetch(
        self, path: str, *, step: Step, wait_s: float
    ) -> Result[HTTPResponse, Failure]:
        """Return the response of one call.

        Status 200 is a success, and so is 404 for a value; any other status is a
        failure.
        """
        request = HTTPRequest(
            self.url + path,
            connect_timeout=self.settings.timeout_s,
            request_timeout=self.settings.timeout_s + wait_s,
            follow_redirects=False,
            decompress_response=True,
            network_interface=self.source_address,
        )
        self.n_calls += 1
        try:
            response = await self.pool.fetch(request)
        except CurlError as error:
            kind = KINDS_BY_CURL_ERROR.get(error.errno, FailureKind.UNREACHABLE)
            detail = f"curl error {error.errno}: {error.message}"
            return Error(self.make_failure(step, kind, detail))
        except RuntimeError:
            return Error(
                self.make_failure(step, FailureKind.CLOSED, "reader is closed")
            )
        except (HTTPClientError, OSError, ValueError) as error:
            detail = f"{type(error).__name__}: {error}"
            return Error(self.make_failure(step, FailureKind.UNREACHABLE, detail))
        if response.code == 200 or (response.code == 404 and "/values/" in path):
            return Ok(response)
        kind = KINDS_BY_STATUS.get(response.code, FailureKind.UNAVAILABLE)
        return Error(self.make_failure(step, kind, f"status {response.code}"))

    def make_failure(self, step: Step, kind: FailureKind, detail: str) -> Failure:
        """Return a failure with the service as peer."""
        return Failure(step=step, kind=kind, peer=self.url, detail=detail)

    def close(self) -> None:
        """Close all connections; idempotent."""
        self.pool.close()
