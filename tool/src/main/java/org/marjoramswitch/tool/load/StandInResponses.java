package org.marjoramswitch.tool.load;

import java.io.IOException;
import org.marjoramswitch.testkit.engine.EngineOptions;
import org.marjoramswitch.testkit.engine.ModelEngine;

/** Checks the responses of stand-ins, whose text is a function of the request and the engine options. */
public final class StandInResponses implements ResponseCheck {
    private final EngineOptions engines;

    private StandInResponses(EngineOptions engines) {
        this.engines = engines;
    }

    /** @param engines the options that all engines share; they determine the text and length of a response */
    public static StandInResponses of(EngineOptions engines) {
        return new StandInResponses(engines);
    }

    @Override
    public Verdict check(RequestPlan plan, String text) {
        if (plan.kind() == RequestPlan.Kind.SERVICE) {
            return RequestIdMatcher.containsId(text, plan.requestId()) ? Verdict.MATCH : Verdict.MISMATCH;
        }
        String expected = expectedText(plan);
        if (expected.equals(text)) {
            return Verdict.MATCH;
        }
        return expected.startsWith(text) ? Verdict.PREFIX : Verdict.MISMATCH;
    }

    private String expectedText(RequestPlan plan) {
        try {
            return ModelEngine.expectedText(plan.call().body(), engines);
        } catch (IOException malformed) {
            throw new IllegalStateException(malformed);
        }
    }
}
