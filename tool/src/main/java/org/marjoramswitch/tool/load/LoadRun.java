package org.marjoramswitch.tool.load;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.marjoramswitch.tool.http.CallEnd;
import org.marjoramswitch.tool.http.CallerClient;
import org.marjoramswitch.tool.load.AddressResponse.Endpoint;

/**
 * Runs one load. The thread that calls {@link #run} creates the requests, decides on retries and records statistics.
 * The connections' I/O threads read the responses and pass each attempt's result to it through a bounded queue.
 *
 * <p>Queue bound: the queue has one slot for each request that may be outstanding and one for each caller's address
 * request. Each of these has at most one event in flight, so the queue is never full. At {@link #MAX_OUTSTANDING}
 * outstanding requests, further open-loop arrivals are dropped and counted.
 *
 * <p>Termination: the run ends when its time is over and every request has ended. Each attempt ends within the caller's
 * timeout after its last received byte, and the number of attempts is limited, so the run ends whatever the fleet does.
 */
public final class LoadRun {
    static final int MAX_OUTSTANDING = 4_000;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long BACKOFF_MS = 100;
    private static final long PAUSE_AFTER_FAILURE_NS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long SILENCE_CHECK_NS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long PROGRESS_NS = TimeUnit.SECONDS.toNanos(1);

    private final Scenario scenario;
    private final AddressSource addresses;
    private final CallerClient client;
    private final ResponseCheck responseCheck;
    private final LoadListener listener;
    private final RetryPolicy retryPolicy;
    private final List<CustomerDriver> customers;
    private final BlockingQueue<LongConsumer> events;
    private final Timers timers = new Timers();
    private final Set<OpenRequest> open = new LinkedHashSet<>();
    private long startedNs;
    private long made;
    private long notMade;

    private LoadRun(
            Scenario scenario,
            AddressSource addresses,
            CallerClient client,
            ResponseCheck responseCheck,
            LoadListener listener,
            String runId) {
        this.responseCheck = responseCheck;
        this.scenario = scenario;
        this.addresses = addresses;
        this.client = client;
        this.listener = listener;
        this.retryPolicy = RetryPolicy.standard(scenario.maxAttempts(), BACKOFF_MS);
        this.customers = scenario.customers().stream()
                .map(load -> CustomerDriver.of(load, scenario.seed(), runId))
                .toList();
        this.events = new ArrayBlockingQueue<>(MAX_OUTSTANDING + customers.size() * CustomerDriver.CALLERS);
    }

    /** @param runId prefix of each request's id */
    public static LoadRun of(
            Scenario scenario,
            AddressSource addresses,
            CallerClient client,
            ResponseCheck responseCheck,
            LoadListener listener,
            String runId) {
        return new LoadRun(scenario, addresses, client, responseCheck, listener, runId);
    }

    /** Blocks until the load has ended. An interrupt aborts it without a report. */
    public LoadReport run() throws InterruptedException {
        startedNs = System.nanoTime();
        customers.forEach(this::startCustomer);
        timers.at(startedNs + PROGRESS_NS, this::reportProgress);
        timers.at(startedNs + SILENCE_CHECK_NS, this::checkSilence);
        long nowNs = startedNs;
        while (!isOver(nowNs) || !open.isEmpty()) {
            LongConsumer event = events.poll(timers.waitNs(nowNs, SILENCE_CHECK_NS), TimeUnit.NANOSECONDS);
            nowNs = System.nanoTime();
            while (event != null) {
                event.accept(nowNs);
                event = events.poll();
            }
            timers.runDue(nowNs);
        }
        return report(nowNs);
    }

    private void startCustomer(CustomerDriver customer) {
        if (!customer.isClosedLoop()) {
            timers.at(startedNs + customer.nextArrivalNs(), nowNs -> arrive(customer, nowNs));
            return;
        }
        for (int i = 0; i < customer.load().concurrency(); i++) {
            timers.at(startedNs, nowNs -> launch(customer, nowNs));
        }
    }

    private void arrive(CustomerDriver customer, long nowNs) {
        launch(customer, nowNs);
        timers.at(nowNs + customer.nextArrivalNs(), next -> arrive(customer, next));
    }

    private void launch(CustomerDriver customer, long nowNs) {
        if (isOver(nowNs)) {
            return;
        }
        if (open.size() >= MAX_OUTSTANDING) {
            notMade++;
            return;
        }
        made++;
        OpenRequest request = customer.nextRequest(nowNs);
        open.add(request);
        listener.onRequest(request.plan());
        send(request, nowNs);
    }

    /** Sends the request as a new execution, with a new key. */
    private void send(OpenRequest request, long nowNs) {
        withEndpoint(request, nowNs, (endpoint, laterNs) -> {
            request.renewKey(endpoint);
            attempt(request, endpoint, laterNs);
        });
    }

    /** Runs the action with an endpoint, immediately or when an address response arrives. */
    private void withEndpoint(OpenRequest request, long nowNs, EndpointAction action) {
        Caller caller = request.caller();
        Endpoint endpoint = caller.endpoint(nowNs);
        if (endpoint != null) {
            action.accept(endpoint, nowNs);
            return;
        }
        if (caller.waitForAddress(new WaitingForAddress(request, action))) {
            addresses.fetch(
                    request.customer().load(),
                    response -> events.add(laterNs -> onAddresses(caller, response, laterNs)));
        }
    }

    private void attempt(OpenRequest request, Endpoint endpoint, long nowNs) {
        request.countAttempt(endpoint, nowNs);
        ResponseReader reader = new ResponseReader(
                request.plan(),
                responseCheck,
                nowNs,
                System::nanoTime,
                request.customer().statistics()::recordTokenGap,
                result -> events.add(laterNs -> attemptEnded(request, result, laterNs)));
        request.attemptStarted(reader, client.start(endpoint.address(), request.callWithKey(), reader));
    }

    private void onAddresses(Caller caller, AddressResponse response, long nowNs) {
        caller.cacheAddresses(response, nowNs);
        for (WaitingForAddress waiting : caller.takeWaiting()) {
            Endpoint endpoint = caller.endpoint(nowNs);
            if (endpoint != null) {
                waiting.action().accept(endpoint, nowNs);
            } else {
                waiting.request().countAttempt(null, nowNs);
                attemptEnded(waiting.request(), noAddress(nowNs), nowNs);
            }
        }
    }

    private static AttemptResult noAddress(long nowNs) {
        return new AttemptResult(AttemptVerdict.NOT_RUN, CallEnd.NOT_CONNECTED, 0, -1, -1, nowNs, "no address");
    }

    private void attemptEnded(OpenRequest request, AttemptResult result, long nowNs) {
        request.attemptEnded(result);
        CustomerDriver customer = request.customer();
        if (result.verdict() == AttemptVerdict.ANSWERED) {
            recordResponse(request, result);
            end(request, result, nowNs);
            return;
        }
        customer.statistics().recordFailure(result);
        Endpoint endpoint = request.attemptEndpoint();
        if (endpoint != null && (result.status() == 0 || result.status() == SERVICE_UNAVAILABLE)) {
            request.caller().endpointFailed(endpoint);
        }
        RetryPolicy.Next next = retryPolicy.next(request, result);
        if (next.step() == RetryPolicy.Step.STOP) {
            end(request, result, nowNs);
            return;
        }
        customer.statistics().recordRetry();
        timers.at(
                nowNs + TimeUnit.MILLISECONDS.toNanos(next.delayMs()), laterNs -> retry(request, next.step(), laterNs));
    }

    private void retry(OpenRequest request, RetryPolicy.Step step, long nowNs) {
        if (step == RetryPolicy.Step.NEW_KEY) {
            send(request, nowNs);
            return;
        }
        Endpoint home = request.reachableHome();
        if (home != null) {
            attempt(request, home, nowNs);
            return;
        }
        withEndpoint(request, nowNs, (endpoint, laterNs) -> attempt(request, endpoint, laterNs));
    }

    private static void recordResponse(OpenRequest request, AttemptResult result) {
        CustomerStatistics statistics = request.customer().statistics();
        statistics.recordDuration(result.endedNs() - request.startedNs());
        if (result.firstTokenNs() >= 0) {
            statistics.recordFirstToken(request.attemptStartedNs() - request.startedNs() + result.firstTokenNs());
        }
    }

    private void end(OpenRequest request, AttemptResult last, long nowNs) {
        RequestOutcome outcome = RequestOutcome.of(last.verdict(), request.mayHaveRun());
        CustomerDriver customer = request.customer();
        open.remove(request);
        customer.statistics().recordOutcome(outcome);
        listener.onOutcome(request.plan(), outcome, last);
        if (!customer.isClosedLoop()) {
            return;
        }
        // Without the pause, a fleet that rejects immediately would be sent requests in a tight loop.
        long pauseNs = outcome == RequestOutcome.ANSWERED ? 0 : PAUSE_AFTER_FAILURE_NS;
        timers.at(nowNs + pauseNs, laterNs -> launch(customer, laterNs));
    }

    private void checkSilence(long nowNs) {
        long sinceNs = nowNs - TimeUnit.MILLISECONDS.toNanos(scenario.answerTimeoutMs());
        List.copyOf(open).forEach(request -> request.cancelIfSilentSince(sinceNs));
        timers.at(nowNs + SILENCE_CHECK_NS, this::checkSilence);
    }

    private void reportProgress(long nowNs) {
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(nowNs - startedNs);
        listener.onProgress(elapsedMs, made, made - open.size(), open.size());
        timers.at(nowNs + PROGRESS_NS, this::reportProgress);
    }

    private boolean isOver(long nowNs) {
        return made >= scenario.maxRequests() || nowNs - startedNs >= TimeUnit.SECONDS.toNanos(scenario.seconds());
    }

    private LoadReport report(long nowNs) {
        List<LoadReport.CustomerReport> reports = customers.stream()
                .map(customer -> customer.statistics().report(customer.load().customer()))
                .sorted(Comparator.comparing(LoadReport.CustomerReport::customer))
                .toList();
        long durationMs = TimeUnit.NANOSECONDS.toMillis(nowNs - startedNs);
        return new LoadReport(scenario.name(), scenario.seed(), durationMs, notMade, reports);
    }

    /** Action that needs an endpoint. */
    @FunctionalInterface
    interface EndpointAction {
        void accept(Endpoint endpoint, long nowNs);
    }

    /** A request that waits for an address response, and the action to run then. */
    record WaitingForAddress(OpenRequest request, EndpointAction action) {}
}
