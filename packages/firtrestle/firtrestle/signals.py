"""Define the signals that plug-ins may connect to."""

from blinker import Namespace

_namespace = Namespace()

query_answered = _namespace.signal("query-answered")
query_refused = _namespace.signal("query-refused")
sub_requests_sent = _namespace.signal("sub-requests-sent")
target_died = _namespace.signal("target-died")
catalogue_applied = _namespace.signal("catalogue-applied")
request_admitted = _namespace.signal("request-admitted")
admission_refused = _namespace.signal("admission-refused")
request_answered = _namespace.signal("request-answered")
