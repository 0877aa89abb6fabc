"""Headers that concern one connection only."""

__all__ = ["HOP_BY_HOP_HEADERS"]

# Lower-case names of RFC 9110, section 7.6.1, and of framing, which each hop does
# anew.
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
