package org.marjoramswitch.kernel.entry;

import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Decides right before a request is sent whether it may be sent to the target. A grant or a placement may be older than
 * what this entry knows about the target and the request, so every reason that forbids a send is checked here again.
 */
final class SendAdmission {
    private final FleetState fleet;
    private final TargetBackoffs backoffs;
    private final CrashReports crashReports;
    private final StopPolicy stopPolicy;

    private SendAdmission(FleetState fleet, TargetBackoffs backoffs, CrashReports crashReports, StopPolicy stopPolicy) {
        this.fleet = fleet;
        this.backoffs = backoffs;
        this.crashReports = crashReports;
        this.stopPolicy = stopPolicy;
    }

    static SendAdmission of(
            FleetState fleet, TargetBackoffs backoffs, CrashReports crashReports, StopPolicy stopPolicy) {
        return new SendAdmission(fleet, backoffs, crashReports, stopPolicy);
    }

    /** The result of a check. Logs and reports name rejections by these constants. */
    enum Verdict {
        ADMITTED(Scope.NONE),
        TARGET_UNKNOWN(Scope.TARGET),
        TARGET_DRAINING(Scope.TARGET),
        DATA_CENTRE_EVACUATED(Scope.TARGET),
        /** The request's stream began at another software version. */
        SOFTWARE_VERSION_DIFFERS(Scope.TARGET),
        /** The target is usable, but not until its backoff has elapsed. */
        TARGET_IN_BACKOFF(Scope.MOMENT),
        /** The placement is older than its target, which is in its cold start, allows. */
        PLACEMENT_STALE(Scope.MOMENT),
        CALLER_GONE(Scope.REQUEST),
        DEADLINE_PASSED(Scope.REQUEST),
        /** The caller has received no part of the response for its progress timeout. */
        CALLER_TIMED_OUT(Scope.REQUEST),
        REQUEST_BLOCKED(Scope.REQUEST),
        /** The instance is stopping and would end the request before its target had finished it. */
        INSTANCE_LEAVING(Scope.REQUEST);

        private final Scope scope;

        Verdict(Scope scope) {
            this.scope = scope;
        }

        /** Whether the target can serve no request, so that the request needs another one. */
        boolean excludesTarget() {
            return scope == Scope.TARGET;
        }

        /** Whether the request may not be sent to any target. */
        boolean endsRequest() {
            return scope == Scope.REQUEST;
        }
    }

    private enum Scope {
        NONE,
        TARGET,
        MOMENT,
        REQUEST
    }

    /**
     * Whether the request may be sent to the target now.
     *
     * @param startWithinMs remaining time for which the placement is valid, see {@link
     *     org.marjoramswitch.kernel.message.PeerMessage.Placed}
     */
    Verdict check(EntryRequest request, TargetId target, long startWithinMs, long nowMs) {
        if (request.callerGone()) {
            return Verdict.CALLER_GONE;
        }
        if (nowMs >= request.spec().deadlineMs()) {
            return Verdict.DEADLINE_PASSED;
        }
        if (nowMs >= request.waitsUntilMs()) {
            return Verdict.CALLER_TIMED_OUT;
        }
        if (crashReports.blockedForMs(request, nowMs) > 0) {
            return Verdict.REQUEST_BLOCKED;
        }
        if (!stopPolicy.maySend(request, nowMs)) {
            return Verdict.INSTANCE_LEAVING;
        }
        if (startWithinMs <= 0) {
            return Verdict.PLACEMENT_STALE;
        }
        String streamVersion = request.streamVersion();
        TargetSettings settings = fleet.settings().targets().get(target);
        if (streamVersion != null && settings != null && !streamVersion.equals(settings.softwareVersion())) {
            return Verdict.SOFTWARE_VERSION_DIFFERS;
        }
        return checkTarget(target, nowMs);
    }

    /** Whether any request may be sent to the target now. */
    Verdict checkTarget(TargetId target, long nowMs) {
        TargetSettings settings = fleet.settings().targets().get(target);
        if (settings == null) {
            return Verdict.TARGET_UNKNOWN;
        }
        if (fleet.leavingTargets().contains(target)) {
            return Verdict.TARGET_DRAINING;
        }
        if (fleet.isEvacuated(settings)) {
            return Verdict.DATA_CENTRE_EVACUATED;
        }
        return backoffs.isBackedOff(target, nowMs) ? Verdict.TARGET_IN_BACKOFF : Verdict.ADMITTED;
    }
}
