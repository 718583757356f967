package org.marjoramswitch.daemon.target;

import java.util.Map;
import org.marjoramswitch.daemon.exchange.TargetNotice;

/** Reads what a target says of itself in the head of an answer. */
@FunctionalInterface
public interface NoticeReader {
    /** For targets that say nothing there. */
    NoticeReader SILENT = (status, headers) -> TargetNotice.NONE;

    /** Header names are in lower case. */
    TargetNotice read(int status, Map<String, String> headers);
}
