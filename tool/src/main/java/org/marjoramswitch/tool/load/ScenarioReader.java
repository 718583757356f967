package org.marjoramswitch.tool.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.tool.load.Scenario.CustomerLoad;
import org.marjoramswitch.tool.load.Scenario.ServiceLoad;

/** Parses a scenario and reports all its faults together. */
public final class ScenarioReader {
    /** Upper bound of {@link Scenario#maxRequests}, so that every load is bounded. */
    static final long MAX_REQUESTS = 1_000_000;

    /** Upper bound of {@link Scenario#seconds}. */
    static final long MAX_SECONDS = 3_600;

    private static final ObjectMapper JSON = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);

    private ScenarioReader() {}

    /** Result of reading a scenario. */
    public sealed interface Result {
        record Valid(Scenario scenario) implements Result {}

        /** @param faults each with the path of the faulty value */
        record Invalid(List<String> faults) implements Result {}
    }

    public static Result read(String json) {
        try {
            return check(JSON.readValue(json, Scenario.class));
        } catch (JsonProcessingException malformed) {
            return new Result.Invalid(List.of(malformed.getOriginalMessage()));
        }
    }

    /** Returns a scenario packaged with the tool, from {@code examples/}. */
    public static Scenario builtIn(String name) throws IOException {
        try (InputStream resource = ScenarioReader.class.getResourceAsStream(name + ".json")) {
            if (resource == null) {
                throw new IllegalArgumentException(name);
            }
            Result result = read(new String(resource.readAllBytes(), StandardCharsets.UTF_8));
            if (result instanceof Result.Valid valid) {
                return valid.scenario();
            }
            throw new IllegalStateException(result.toString());
        }
    }

    private static Result check(Scenario scenario) {
        Faults faults = new Faults();
        faults.require(scenario.seconds() > 0 && scenario.seconds() <= MAX_SECONDS, "seconds", "1 to " + MAX_SECONDS);
        faults.require(
                scenario.maxRequests() > 0 && scenario.maxRequests() <= MAX_REQUESTS,
                "maxRequests",
                "1 to " + MAX_REQUESTS);
        faults.require(scenario.answerTimeoutMs() > 0, "answerTimeoutMs", "above 0");
        faults.require(scenario.maxAttempts() > 0, "maxAttempts", "above 0");
        faults.require(!scenario.customers().isEmpty(), "customers", "at least one");
        for (int i = 0; i < scenario.instances().size(); i++) {
            faults.require(isAddress(scenario.instances().get(i)), "instances/" + i, "host:port");
        }
        checkCustomers(scenario, faults);
        return faults.found.isEmpty() ? new Result.Valid(scenario) : new Result.Invalid(faults.found);
    }

    private static void checkCustomers(Scenario scenario, Faults faults) {
        Set<String> names = new HashSet<>();
        int concurrency = 0;
        for (int i = 0; i < scenario.customers().size(); i++) {
            CustomerLoad customer = scenario.customers().get(i);
            String path = "customers/" + i;
            faults.require(names.add(customer.customer()), path + "/customer", "a name of its own");
            checkCustomer(customer, path, faults);
            concurrency += Math.max(0, customer.concurrency());
        }
        faults.require(
                concurrency <= LoadRun.MAX_OUTSTANDING,
                "customers",
                "a concurrency of " + LoadRun.MAX_OUTSTANDING + " in all");
    }

    private static void checkCustomer(CustomerLoad customer, String path, Faults faults) {
        boolean openLoop = customer.ratePerSecond() > 0;
        boolean closedLoop = customer.concurrency() > 0;
        faults.require(openLoop != closedLoop, path, "either ratePerSecond or concurrency above 0");
        faults.require(isShare(customer.streamingShare()), path + "/streamingShare", "0 to 1");
        faults.require(isShare(customer.urgentShare()), path + "/urgentShare", "0 to 1");
        faults.require(
                isUsable(customer.promptTokens()), path + "/promptTokens", "median and max above 0, sigma not below");
        faults.require(isUsable(customer.maxTokens()), path + "/maxTokens", "median and max above 0, sigma not below");
        ServiceLoad service = customer.service();
        if (service != null) {
            faults.require(isShare(service.share()), path + "/service/share", "0 to 1");
            faults.require(isShare(service.notRepeatableShare()), path + "/service/notRepeatableShare", "0 to 1");
            faults.require(service.path().startsWith("/"), path + "/service/path", "begins with /");
        }
    }

    private static boolean isShare(double value) {
        return value >= 0 && value <= 1;
    }

    private static boolean isUsable(LogNormal tokens) {
        return tokens.median() > 0 && tokens.max() > 0 && tokens.sigma() >= 0;
    }

    private static boolean isAddress(@Nullable String text) {
        try {
            return text != null && HostPort.parse(text).port() > 0;
        } catch (IllegalArgumentException malformed) {
            return false;
        }
    }

    private static final class Faults {
        private final List<String> found = new ArrayList<>();

        void require(boolean valid, String path, String expected) {
            if (!valid) {
                found.add(path + ": must be " + expected);
            }
        }
    }
}
