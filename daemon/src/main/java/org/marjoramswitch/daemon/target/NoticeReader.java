package org.marjoramswitch.daemon.target;

import java.util.Map;
import org.marjoramswitch.daemon.exchange.TargetStatusNotice;

/** Reads the status notice of a target from the head of a response. */
@FunctionalInterface
public interface NoticeReader {
    /** For targets that send no notices. */
    NoticeReader NONE = (status, headers) -> TargetStatusNotice.NONE;

    /** @param headers header names are in lower case */
    TargetStatusNotice read(int status, Map<String, String> headers);
}
