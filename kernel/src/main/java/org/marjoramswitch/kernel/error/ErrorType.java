package org.marjoramswitch.kernel.error;

/**
 * All failures of the program. Each has a number (stable and never reused), a severity, the HTTP status sent to callers
 * (0 if no caller sees it) and a message template, in which {@code %s} stands for the failure's detail.
 */
public enum ErrorType {
    MALFORMED_REQUEST(100, Severity.NOTICE, 400, "The request cannot be understood: %s"),
    UNKNOWN_API_KEY(101, Severity.NOTICE, 401, "No customer has this API key"),
    UNKNOWN_POOL(102, Severity.NOTICE, 404, "No model or service has this name: %s"),
    BODY_TOO_LARGE(103, Severity.NOTICE, 413, "The body is larger than %s bytes"),
    UNKNOWN_PATH(104, Severity.NOTICE, 404, "Nothing is served at %s"),
    METHOD_NOT_ALLOWED(105, Severity.NOTICE, 405, "The method is not allowed here: %s"),
    BODY_TIMEOUT(106, Severity.NOTICE, 408, "The request's body did not arrive in time"),
    HEAD_TOO_LARGE(107, Severity.NOTICE, 431, "The request's head is larger than %s bytes"),
    CUSTOMER_QUEUE_FULL(120, Severity.NOTICE, 429, "The customer has too many requests waiting: %s"),
    ENTRY_QUEUE_FULL(121, Severity.WARNING, 503, "The instance has too many requests waiting"),
    WAIT_TIMEOUT(122, Severity.WARNING, 503, "The request's time ran out before it was sent to a target"),
    INSTANCE_LEAVING(123, Severity.NOTICE, 503, "The instance is leaving; ask for another address"),
    NOT_READY(124, Severity.WARNING, 503, "The instance has no accepted settings yet"),
    RETRY_BUDGET_SPENT(125, Severity.WARNING, 503, "Targets of %s fail and the retry budget is spent"),
    TARGET_REFUSED(126, Severity.WARNING, 502, "The target refused the request: %s"),
    TARGET_BROKE(127, Severity.WARNING, 502, "The target's answer broke off: %s"),
    TARGET_SILENT(128, Severity.WARNING, 504, "The target made no progress: %s"),
    REQUEST_TIMEOUT(130, Severity.WARNING, 504, "The request was not answered within its time"),
    NO_TARGET_IN_TIME(131, Severity.WARNING, 503, "No target can serve the request in a useful time"),
    NO_ROUTE(132, Severity.NOTICE, 404, "No route leads to %s"),
    REQUEST_BLOCKED(133, Severity.WARNING, 503, "Targets end when they run the request, so it is not run: %s"),
    TARGETS_REST(134, Severity.WARNING, 503, "Each target of %s wants no request for a while"),
    DATA_CENTRES_EVACUATED(135, Severity.WARNING, 503, "All data centres with targets of %s are evacuated"),
    STREAM_NOT_RESUMABLE(136, Severity.WARNING, 503, "No target can continue the stream: %s"),
    CALLER_GONE(129, Severity.NOTICE, 499, "The caller went away"),
    KEY_IN_USE(140, Severity.NOTICE, 409, "The key belongs to another request"),
    KEY_DEAD(141, Severity.NOTICE, 409, "The request with this key was declared not run; use a new key"),
    KEY_OUTCOME_UNKNOWN(142, Severity.WARNING, 409, "What became of the request with this key cannot be known"),
    CLAIM_UNAVAILABLE(143, Severity.WARNING, 503, "The idempotency key could not be claimed"),
    KEY_AT_HOME(144, Severity.NOTICE, 307, "The request with this key lives at %s"),
    KEY_LIMIT(145, Severity.NOTICE, 429, "The customer has used too many request keys: %s"),
    ANSWER_NOT_KEPT(146, Severity.NOTICE, 409, "The request has ended and its answer is not kept any longer"),
    SETTINGS_INVALID(200, Severity.ERROR, 0, "The settings are not valid: %s"),
    SETTINGS_CONFLICT(201, Severity.ERROR, 0, "Two teams define the same name: %s"),
    SETTINGS_WRITE_LOST(202, Severity.WARNING, 0, "Another write came first at %s"),
    LOCAL_SETTINGS_INVALID(203, Severity.ERROR, 0, "The instance's settings file is not valid: %s"),
    SETTINGS_TOO_LARGE(204, Severity.ERROR, 0, "The settings exceed a limit of size: %s"),
    SETTINGS_SUPERSEDED(205, Severity.WARNING, 0, "A restored copy of older settings; write them again to apply: %s"),
    SETTINGS_UNKNOWN_POOL(206, Severity.ERROR, 0, "A target names a pool that no team defines: %s"),
    SETTINGS_POOL_IN_USE(207, Severity.ERROR, 0, "A pool that targets still name cannot be removed: %s"),
    PLATFORM_UNAVAILABLE(220, Severity.WARNING, 0, "The platform's service does not answer: %s"),
    PLATFORM_BUDGET_SPENT(221, Severity.WARNING, 0, "The call budget for the platform's key-value store is exhausted"),
    PLATFORM_REJECTED(222, Severity.ERROR, 0, "The platform's key-value store rejected a call: %s"),
    FLEET_LIST_INVALID(223, Severity.WARNING, 0, "An entry of the platform's list cannot be parsed: %s"),
    PEER_UNREACHABLE(240, Severity.WARNING, 0, "The link to a peer failed: %s"),
    PEER_UNAUTHENTICATED(241, Severity.ERROR, 0, "A peer does not know the fleet key: %s"),
    PEER_FRAME_INVALID(242, Severity.ERROR, 0, "A peer's frame cannot be decoded: %s"),
    RING_FULL(243, Severity.ERROR, 0, "A ring buffer between two threads is full: %s"),
    PLACEMENT_LEASE_LOST(260, Severity.WARNING, 0, "The placement lease is no longer held: %s"),
    PLACEMENT_ORDER_FAILED(261, Severity.WARNING, 0, "An order to a target failed: %s"),
    USAGE(280, Severity.ERROR, 0, "The command line cannot be understood: %s"),
    INPUT_INVALID(281, Severity.ERROR, 0, "An input file is not valid: %s"),
    DEMO_NOT_STARTED(282, Severity.ERROR, 0, "The demo did not come up: %s"),
    INTERNAL(300, Severity.ERROR, 500, "An internal error: %s");

    private final int number;
    private final Severity severity;
    private final int httpStatus;
    private final String template;

    ErrorType(int number, Severity severity, int httpStatus, String template) {
        this.number = number;
        this.severity = severity;
        this.httpStatus = httpStatus;
        this.template = template;
    }

    public int number() {
        return number;
    }

    public Severity severity() {
        return severity;
    }

    /** The status of the HTTP response, or 0 for a failure that no caller sees. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the message template with {@code detail} inserted. */
    public String message(String detail) {
        return template.replace("%s", detail);
    }

    /** Severity of a failure in logs and reports. */
    public enum Severity {
        NOTICE,
        WARNING,
        ERROR
    }
}
