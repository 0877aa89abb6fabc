"""Names of the hop-by-hop headers of HTTP."""

__all__ = ["HOP_BY_HOP_HEADERS"]

# Lower-case names: the hop-by-hop headers of RFC 9110, section 7.6.1, and those of
# proxy authentication, and Content-Length and Expect, since each hop frames and
# transfers its messages itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
