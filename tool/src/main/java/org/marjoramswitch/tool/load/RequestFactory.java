package org.marjoramswitch.tool.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.marjoramswitch.tool.http.HttpCall;
import org.marjoramswitch.tool.load.RequestPlan.Kind;
import org.marjoramswitch.tool.load.Scenario.CustomerLoad;
import org.marjoramswitch.tool.load.Scenario.ServiceLoad;

/**
 * Generates one customer's sequence of requests. The n-th request depends only on the scenario's seed, the customer and
 * n, so two runs send the same requests regardless of the order of the responses; only the run id in them differs.
 */
final class RequestFactory {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int URGENT = 1;
    private static final int DEFAULT_URGENCY = 3;
    private static final String WORD = "word ";

    /** Makes the prompt prefix that a customer's requests share longer than an engine's shortest cacheable prefix. */
    private static final int PREAMBLE_SENTENCES = 8;

    private final CustomerLoad customer;
    private final SplittableRandom random;
    private final String idPrefix;
    private final String preamble;
    private long made;

    private RequestFactory(CustomerLoad customer, SplittableRandom random, String idPrefix) {
        this.customer = customer;
        this.random = random;
        this.idPrefix = idPrefix;
        this.preamble = ("You answer for " + customer.customer() + " and nobody else. ").repeat(PREAMBLE_SENTENCES);
    }

    /** @param runId distinguishes the request ids of this run from those of other runs against the same targets */
    static RequestFactory of(CustomerLoad customer, long seed, String runId) {
        long ownSeed = seed * 31 + customer.customer().hashCode();
        return new RequestFactory(customer, new SplittableRandom(ownSeed), runId + "-" + customer.customer());
    }

    RequestPlan next() {
        made++;
        String requestId = idPrefix + "-" + made;
        int urgency = random.nextDouble() < customer.urgentShare() ? URGENT : DEFAULT_URGENCY;
        ServiceLoad service = customer.service();
        if (service != null && random.nextDouble() < service.share()) {
            return serviceRequest(requestId, urgency, service);
        }
        return modelRequest(requestId, urgency);
    }

    private RequestPlan modelRequest(String requestId, int urgency) {
        long promptTokens = customer.promptTokens().sample(random);
        long maxTokens = customer.maxTokens().sample(random);
        boolean streaming = random.nextDouble() < customer.streamingShare();
        ObjectNode body = JSON.createObjectNode();
        body.put("model", customer.model());
        ArrayNode messages = body.putArray("messages");
        messages.addObject().put("role", "system").put("content", preamble);
        messages.addObject()
                .put("role", "user")
                .put("content", "request-id=" + requestId + " " + WORD.repeat((int) promptTokens));
        body.put("max_tokens", maxTokens);
        body.put("user", customer.customer());
        body.put("stream", streaming);
        if (streaming) {
            body.putObject("stream_options").put("include_usage", true);
        }
        HttpCall call = HttpCall.post("/v1/chat/completions", headers(requestId, urgency, true), body.toString());
        return new RequestPlan(requestId, customer.customer(), Kind.MODEL, streaming, true, call);
    }

    private RequestPlan serviceRequest(String requestId, int urgency, ServiceLoad service) {
        boolean repeatable = random.nextDouble() >= service.notRepeatableShare();
        String body = JSON.createObjectNode().put("request_id", requestId).toString();
        HttpCall call = HttpCall.post(
                "/services/" + service.name() + service.path(), headers(requestId, urgency, repeatable), body);
        return new RequestPlan(requestId, customer.customer(), Kind.SERVICE, false, repeatable, call);
    }

    private Map<String, String> headers(String requestId, int urgency, boolean repeatable) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Authorization", "Bearer " + customer.apiKey());
        headers.put("Content-Type", "application/json");
        headers.put("Priority", "u=" + urgency);
        headers.put(CallerHeaders.CALL_KEY, requestId);
        headers.put(CallerHeaders.REPEATABLE, repeatable ? "yes" : "no");
        return headers;
    }
}
