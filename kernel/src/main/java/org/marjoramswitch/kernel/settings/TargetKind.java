package org.marjoramswitch.kernel.settings;

/** The kind of a pool's targets. */
public enum TargetKind {
    /** Speaks the OpenAI-compatible protocol; service is measured in weighted tokens. */
    MODEL_ENGINE("model-engine"),
    /** Plain HTTP; service is measured in target time, one token per millisecond. */
    PLAIN_SERVICE("plain-service");

    private final String settingsName;

    TargetKind(String settingsName) {
        this.settingsName = settingsName;
    }

    public String settingsName() {
        return settingsName;
    }
}
