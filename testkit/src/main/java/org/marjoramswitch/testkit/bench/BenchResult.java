package org.marjoramswitch.testkit.bench;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/**
 * Result of one policy in one case.
 *
 * @param values worst value over all seeds; counts are summed
 * @param controlBytesByType encoded bytes per answered request by type of message, of the first seed
 */
public record BenchResult(
        String caseName, String policy, Map<Measure, Double> values, Map<String, Double> controlBytesByType) {
    static BenchResult of(
            String caseName, String policy, Map<Measure, Double> values, Map<String, Double> controlBytesByType) {
        return new BenchResult(
                caseName,
                policy,
                Collections.unmodifiableMap(new EnumMap<>(values)),
                Collections.unmodifiableMap(controlBytesByType));
    }

    /** Returns the measured value, or 0 if the case or policy has none. */
    public double value(Measure measure) {
        return values.getOrDefault(measure, 0.0);
    }

    /** Formats the result as one line of key=value pairs. */
    public String line() {
        StringBuilder line = new StringBuilder("event=bench case=" + caseName + " policy=" + policy);
        for (Measure measure : Measure.values()) {
            line.append(' ').append(measure.key()).append('=').append(measure.format(value(measure)));
        }
        controlBytesByType.forEach((type, bytes) -> line.append(" bytes_")
                .append(type)
                .append('=')
                .append(Measure.CONTROL_BYTES_PER_REQUEST.format(bytes)));
        return line.toString();
    }

    BenchResult merge(BenchResult nextSeed) {
        Map<Measure, Double> merged = new EnumMap<>(Measure.class);
        for (Measure measure : Measure.values()) {
            merged.put(measure, measure.merge(value(measure), nextSeed.value(measure)));
        }
        return of(caseName, policy, merged, controlBytesByType);
    }

    /** Returns this result with the ratios of the other customers' times to those of a run without the flood. */
    BenchResult comparedTo(BenchResult withoutFlood) {
        Map<Measure, Double> compared = new EnumMap<>(values);
        compared.put(Measure.OTHERS_TTFT_RATIO, ratio(Measure.OTHERS_TTFT_P95_MS, withoutFlood));
        compared.put(Measure.OTHERS_TOTAL_RATIO, ratio(Measure.OTHERS_TOTAL_P95_MS, withoutFlood));
        return of(caseName, policy, compared, controlBytesByType);
    }

    private double ratio(Measure measure, BenchResult other) {
        return value(measure) / other.value(measure);
    }
}
