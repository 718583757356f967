package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramswitch.daemon.exchange.ResponseListener;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;

class RejectionGuardTest {
    private final List<String> received = new ArrayList<>();
    private final ResponseListener guard = RejectionGuard.before(new ResponseListener() {
        @Override
        public void onHead(int status, Map<String, String> headers) {
            received.add("head " + status);
        }

        @Override
        public void onBytes(byte[] bytes) {
            received.add("bytes " + bytes.length);
        }

        @Override
        public void onComplete() {
            received.add("complete");
        }

        @Override
        public void onFailure(Failure failure) {
            received.add(failure.type() + " " + failure.run().wireName());
        }
    });

    /** Guards against a rejection that reaches the caller with its status or with a part of its body. */
    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void rejectionBecomesOneFailureThatGuaranteesNothing(int status) {
        guard.onHead(status, Map.of());
        guard.onBytes(new byte[3]);
        guard.onComplete();
        guard.onFailure(Failure.unknown(ErrorType.TARGET_SILENT, ""));
        assertEquals(List.of("TARGET_REFUSED unknown"), received);
    }

    /** Guards against replacing responses whose status guarantees nothing. */
    @ParameterizedTest
    @ValueSource(ints = {200, 400, 404, 418, 500, 502, 504, 599})
    void otherResponseIsForwarded(int status) {
        guard.onHead(status, Map.of());
        guard.onBytes(new byte[3]);
        guard.onComplete();
        assertEquals(List.of("head " + status, "bytes 3", "complete"), received);
    }
}
