package org.marjoramswitch.kernel.replay;

import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.model.Member;

/**
 * The parameters that a kernel is created with; the first line of a recording.
 *
 * @param format version of the recording format
 */
public record RecordingHeader(int format, Member self, KernelOptions options) {
    public static final int FORMAT = 1;

    public static RecordingHeader of(Member self, KernelOptions options) {
        return new RecordingHeader(FORMAT, self, options);
    }
}
