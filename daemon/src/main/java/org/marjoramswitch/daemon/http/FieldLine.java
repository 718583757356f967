package org.marjoramswitch.daemon.http;

/**
 * A field line of a head or of trailers, or the empty line at their end (RFC 9112, section 5). A line that begins with a
 * blank, which would continue the line before it, is invalid, as is a blank before the colon.
 */
final class FieldLine implements Line {
    private final BodyFields bodyFields;
    private boolean inValue;
    private int nameLength;

    /** @param bodyFields receives the bytes of names and values */
    FieldLine(BodyFields bodyFields) {
        this.bodyFields = bodyFields;
    }

    void begin() {
        inValue = false;
        nameLength = 0;
        bodyFields.beginLine();
    }

    @Override
    public int accept(byte[] bytes, int from, int to) {
        int valueFrom = inValue ? from : acceptName(bytes, from, to);
        if (!inValue) {
            return valueFrom;
        }
        int end = HttpBytes.endOfText(bytes, valueFrom, to);
        bodyFields.acceptValue(bytes, valueFrom, end);
        return end;
    }

    /** Takes the name and the colon after it. */
    private int acceptName(byte[] bytes, int from, int to) {
        int at = from;
        while (at < to && HttpBytes.isToken(bytes[at])) {
            at++;
        }
        nameLength += at - from;
        bodyFields.acceptName(bytes, from, at);
        if (at == to || bytes[at] != ':' || nameLength == 0) {
            return at;
        }
        inValue = true;
        bodyFields.endName();
        return at + 1;
    }

    @Override
    public boolean end() {
        return inValue || isEmpty();
    }

    boolean isEmpty() {
        return nameLength == 0;
    }
}
