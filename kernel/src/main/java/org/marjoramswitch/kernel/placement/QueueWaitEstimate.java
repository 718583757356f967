package org.marjoramswitch.kernel.placement;

import org.marjoramswitch.kernel.fair.CustomerAccount;
import org.marjoramswitch.kernel.fair.FairShares;

/**
 * Estimates how long a request waits in the arbiter's queue.
 *
 * <p>Customers are served at equal rates. By the time a customer has been served its requests ahead of this one, each
 * other customer has been served the same amount, adjusted by the difference of the two counters and limited by its
 * backlog. The wait is the sum of these prefill tokens divided by the engines' total prefill rate.
 *
 * <p>The estimate allows a request that cannot be started in time to be rejected on arrival rather than at the end of
 * its objective. The requests ahead of it lose nothing, since it would never have been started.
 *
 * <p>Edge cases: the estimate is too low if engines are limited by slots, memory or generation rather than prefill, so
 * some requests still wait until their objective expires. It is too high if requests ahead are cancelled, which is rare
 * within an objective.
 *
 * <p>Cost: linear in the backlogged customers and the customer's own waiting requests.
 */
final class QueueWaitEstimate {
    private QueueWaitEstimate() {}

    /**
     * @param msPerToken prefill time per token of one engine
     * @param engines number of engines that accept requests, each counted by its speed
     */
    static double waitMs(
            WaitingRequest request, WaitingQueues waiting, FairShares shares, double msPerToken, double engines) {
        CustomerAccount own = shares.account(request.customer());
        double aheadCost = 0;
        double aheadPrefillTokens = 0;
        for (WaitingRequest earlier : waiting.of(request.customer()).requests().headSet(request)) {
            aheadCost += earlier.costTokens();
            aheadPrefillTokens += earlier.prefillTokens();
        }
        double startCounter = own.counter() + aheadCost / own.weight();
        for (CustomerAccount other : shares.backloggedInOrder()) {
            if (other != own) {
                aheadPrefillTokens += prefillTokensBefore(startCounter, other, waiting.of(other.customer()));
            }
        }
        return aheadPrefillTokens * msPerToken / Math.max(1, engines);
    }

    /** Prefill tokens of a customer's backlog that are served until its counter reaches this value. */
    private static double prefillTokensBefore(double counter, CustomerAccount account, CustomerBacklog backlog) {
        double cost = (counter - account.counter()) * account.weight();
        if (cost <= 0 || backlog.costTokens() == 0) {
            return 0;
        }
        return Math.min(1, cost / backlog.costTokens()) * backlog.prefillTokens();
    }
}
