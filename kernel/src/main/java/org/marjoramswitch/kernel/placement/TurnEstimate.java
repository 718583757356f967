package org.marjoramswitch.kernel.placement;

import org.marjoramswitch.kernel.fair.CustomerAccount;
import org.marjoramswitch.kernel.fair.FairShares;

/**
 * When a waiting request will have its turn.
 *
 * <p>The engines serve the customers at equal speed, so by the time that a customer is served what it has waiting before
 * the request, each other one is served as much, or all that it has, and more or less by the distance of the two
 * counters. What all of these have to read, divided by what the engines read together, is the wait.
 *
 * <p>It tells on arrival what would otherwise show at the request's last moment. A caller that is to be refused is
 * told at once and not after its whole objective, and the requests before it lose nothing, since it would never
 * have been started.
 *
 * <p>It is too short where engines are bound by slots, memory or generation instead of reading, so that some requests
 * still wait in vain; it is too long where requests ahead are given up, which callers seldom do within an objective.
 *
 * <p>Cost: linear in the backlogged customers and the customer's own waiting requests.
 */
final class TurnEstimate {
    private TurnEstimate() {}

    /**
     * @param msPerToken of one engine
     * @param engines that take work
     */
    static double waitMs(
            WaitingRequest request, WaitingQueues waiting, FairShares shares, double msPerToken, long engines) {
        CustomerAccount own = shares.account(request.customer());
        double aheadCost = 0;
        double aheadReading = 0;
        for (WaitingRequest earlier : waiting.of(request.customer()).requests().headSet(request)) {
            aheadCost += earlier.costTokens();
            aheadReading += earlier.readingTokens();
        }
        double turnAtCounter = own.counter() + aheadCost / own.weight();
        for (CustomerAccount other : shares.backloggedInOrder()) {
            if (other != own) {
                aheadReading += readingBefore(turnAtCounter, other, waiting.of(other.customer()));
            }
        }
        return aheadReading * msPerToken / Math.max(1, engines);
    }

    /** What a customer is served of its backlog until its counter has come so far. */
    private static double readingBefore(double counter, CustomerAccount account, CustomerBacklog backlog) {
        double cost = (counter - account.counter()) * account.weight();
        if (cost <= 0 || backlog.costTokens() == 0) {
            return 0;
        }
        return Math.min(1, cost / backlog.costTokens()) * backlog.readingTokens();
    }
}
