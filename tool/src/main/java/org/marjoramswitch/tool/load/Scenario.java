package org.marjoramswitch.tool.load;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Description of a load, as read from its JSON file.
 *
 * @param instances {@code host:port} of some instances; address requests go to them round-robin
 * @param seconds how long new requests are created
 * @param maxRequests maximum number of requests, retries not counted
 * @param answerTimeoutMs how long a caller waits for the next byte before it cancels an attempt
 * @param maxAttempts maximum number of attempts per request, including the first
 * @param standInAnswers whether the targets are stand-ins with their default options, so that the text of each response
 *     can be checked
 */
public record Scenario(
        String name,
        long seed,
        List<String> instances,
        long seconds,
        long maxRequests,
        long answerTimeoutMs,
        int maxAttempts,
        boolean standInAnswers,
        List<CustomerLoad> customers) {

    public Scenario withInstances(List<String> newInstances) {
        return copy(List.copyOf(newInstances), seconds, maxAttempts);
    }

    public Scenario withSeconds(long newSeconds) {
        return copy(instances, newSeconds, maxAttempts);
    }

    public Scenario withMaxAttempts(int newMaxAttempts) {
        return copy(instances, seconds, newMaxAttempts);
    }

    private Scenario copy(List<String> newInstances, long newSeconds, int newMaxAttempts) {
        return new Scenario(
                name,
                seed,
                newInstances,
                newSeconds,
                maxRequests,
                answerTimeoutMs,
                newMaxAttempts,
                standInAnswers,
                customers);
    }

    /**
     * One customer's workload. Exactly one of {@code ratePerSecond} and {@code concurrency} is above 0.
     *
     * @param ratePerSecond mean arrival rate of new requests, independent of completions (open loop)
     * @param concurrency number of outstanding requests; each one that ends is replaced by a new one (closed loop)
     * @param streamingShare share of the model requests that are streamed, 0 to 1
     * @param urgentShare share of all requests that are sent with urgency 1 instead of the default 3, 0 to 1
     * @param service the plain service that receives a share of the requests; null if none does
     */
    public record CustomerLoad(
            String customer,
            String apiKey,
            String model,
            double ratePerSecond,
            int concurrency,
            double streamingShare,
            double urgentShare,
            LogNormal promptTokens,
            LogNormal maxTokens,
            @Nullable ServiceLoad service) {}

    /**
     * A customer's calls to a plain service.
     *
     * @param share share of the customer's requests that go to the service, 0 to 1
     * @param notRepeatableShare share of the service calls that must not be repeated, 0 to 1
     */
    public record ServiceLoad(String name, String path, double share, double notRepeatableShare) {}
}
