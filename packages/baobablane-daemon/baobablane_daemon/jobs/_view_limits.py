"""Limit how old the views may be, and for how long the store may be silent."""

# A read takes at most 0.45 s unless its response is large, so the age of a view is at
# most 0.9 s, or 1.2 s for states between queries. A view that is older than this may
# lack what others have read.
MAX_VIEW_AGE_SECONDS = 1.3
# If nothing of use arrives for longer than this (`TopicTail.silence`), the store is
# unreachable, and callers should use other instances.
MAX_SILENCE_SECONDS = 1.3
# A fault of the store, or of the connection to it, lasts for seconds at least.
RETRY_AFTER_SECONDS = 1.0
