package org.marjoramswitch.daemon.target;

import java.util.Map;
import org.marjoramswitch.daemon.exchange.TargetStatusNotice;

/** Reads what a target says of itself in the head of an answer. */
@FunctionalInterface
public interface NoticeReader {
    /** For targets that say nothing there. */
    NoticeReader SILENT = (status, headers) -> TargetStatusNotice.NONE;

    /** Header names are in lower case. */
    TargetStatusNotice read(int status, Map<String, String> headers);
}
