package org.marjoramswitch.kernel.membership;

/** The status of a member; for equal incarnation and revision a later constant overrides an earlier one. */
public enum MemberStatus {
    ALIVE,
    /** Did not acknowledge a probe; dead unless it refutes the suspicion within the suspicion timeout. */
    SUSPECT,
    /** Did not refute the suspicion in time. Each instance decides this by itself, so it is never sent. */
    DEAD,
    /** Announced its own exit. */
    LEFT
}
