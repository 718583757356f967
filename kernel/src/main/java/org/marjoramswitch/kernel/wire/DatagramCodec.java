package org.marjoramswitch.kernel.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.marjoramswitch.kernel.membership.Datagram;
import org.marjoramswitch.kernel.membership.MemberAddress;
import org.marjoramswitch.kernel.membership.MemberStatus;
import org.marjoramswitch.kernel.membership.MemberUpdate;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * Codec of the failure detector's datagrams: a truncated HMAC-SHA256 under the fleet key, followed by one MessagePack
 * array.
 *
 * <p>The authentication code rejects datagrams of other senders and fleets. A replayed datagram has no effect: outdated
 * updates are ignored by the order of incarnations and revisions, and the suspected member refutes a false suspicion.
 *
 * <p>A datagram of an unknown type still carries the sender and updates, so it decodes to {@link Datagram.Unknown}.
 * Fields may be appended with a default. Not thread-safe.
 */
public final class DatagramCodec {
    /** Maximum size of a datagram, small enough that none is fragmented in transit. */
    public static final int MAX_BYTES = 1_200;

    static final int MAC_BYTES = 8;

    private static final String ALGORITHM = "HmacSHA256";
    /** Domain separation: a code computed here is not valid for any other use of the fleet key. */
    private static final byte[] DOMAIN = "marjoramswitch-membership".getBytes(StandardCharsets.UTF_8);

    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int PING_REQUEST = 3;
    private static final int COMPARE = 4;
    private static final int EXCHANGE = 5;

    private static final int LEAVING = 1;
    private static final int SUSPECT = 2;
    private static final int LEFT = 4;

    /** Without the headroom, which is omitted unless it is known to be incomplete. */
    private static final int FULL_UPDATE_FIELDS = 9;

    private static final int STATUS_ONLY_FIELDS = 4;
    private static final int REPORT_ITEMS = 3;
    /** Ages up to 12.7 s take one byte. */
    private static final long AGE_UNIT_MS = 100;

    private static final Map<MemberStatus, Integer> STATUS_FLAGS = Map.of(
            MemberStatus.ALIVE, 0, MemberStatus.SUSPECT, SUSPECT, MemberStatus.DEAD, SUSPECT, MemberStatus.LEFT, LEFT);

    private final Mac mac;
    private final FieldWriter out = new FieldWriter();

    private DatagramCodec(Mac mac) {
        this.mac = mac;
    }

    public static DatagramCodec create(String fleetKey) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(fleetKey.getBytes(StandardCharsets.UTF_8), ALGORITHM));
            return new DatagramCodec(mac);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Encodes a datagram; the receiver rejects a result of more than {@link #MAX_BYTES} bytes. */
    public byte[] encode(Datagram datagram) {
        return withMac(payload(datagram));
    }

    /** Prepends the authentication code to the payload. */
    byte[] withMac(byte[] payload) {
        byte[] code = authenticationCode(payload, 0, payload.length);
        byte[] bytes = Arrays.copyOf(code, code.length + payload.length);
        System.arraycopy(payload, 0, bytes, code.length, payload.length);
        return bytes;
    }

    /** Decodes the first {@code lengthBytes} bytes of a buffer. */
    public DatagramResult decode(byte[] bytes, int lengthBytes) {
        if (lengthBytes > MAX_BYTES) {
            return new DatagramResult.Malformed(WireFault.TOO_LARGE);
        }
        if (lengthBytes <= MAC_BYTES) {
            return new DatagramResult.Malformed(WireFault.TRUNCATED);
        }
        int payloadBytes = lengthBytes - MAC_BYTES;
        byte[] code = Arrays.copyOf(bytes, MAC_BYTES);
        if (!MessageDigest.isEqual(code, authenticationCode(bytes, MAC_BYTES, payloadBytes))) {
            return new DatagramResult.Malformed(WireFault.UNAUTHENTICATED);
        }
        try {
            FieldReader in = FieldReader.of(bytes, MAC_BYTES, payloadBytes);
            return new DatagramResult.Decoded(FieldReader.guarded(() -> read(in)));
        } catch (WireException e) {
            return new DatagramResult.Malformed(e.fault());
        }
    }

    private byte[] authenticationCode(byte[] bytes, int offset, int lengthBytes) {
        mac.update(DOMAIN);
        mac.update(bytes, offset, lengthBytes);
        return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
    }

    // Array: type, sender's id, incarnation, revision, flags, data centre, generation, updates, the fields of the type,
    // the sender's processor, the sender's headroom, headroom reports (member's key, percentage, age in units of
    // 100 ms). The last two are omitted while all instances have full headroom.

    private byte[] payload(Datagram datagram) {
        Datagram.Sender sender = datagram.sender();
        int flags = (sender.leaving() ? LEAVING : 0) | (sender.left() ? LEFT : 0);
        out.begin()
                .field(bodyType(datagram.body()))
                .text(sender.id().name())
                .field(sender.incarnation())
                .field(sender.revision())
                .field(flags)
                .text(sender.dataCentre().name())
                .field(sender.generation());
        out.list(datagram.updates().size());
        datagram.updates().forEach(this::put);
        out.endList();
        putBody(datagram.body());
        out.field(sender.processorMillicores());
        out.field(sender.headroomPercent(), MemberUpdate.FULL_HEADROOM);
        put(datagram.headroomReports());
        return out.end();
    }

    private void put(List<Datagram.HeadroomReport> reports) {
        if (reports.isEmpty()) {
            return;
        }
        out.list(reports.size() * REPORT_ITEMS);
        for (Datagram.HeadroomReport report : reports) {
            // Rounded up by more than the transit takes, so that a forwarded report never seems newer than it is.
            out.put(report.memberKey()).put(report.percent()).put(report.ageMs() / AGE_UNIT_MS + 1);
        }
        out.endList();
    }

    private void put(MemberUpdate update) {
        int flags = (update.leaving() ? LEAVING : 0) | STATUS_FLAGS.getOrDefault(update.status(), SUSPECT);
        boolean hasHeadroom = update.headroomPercent() >= 0 && update.headroomPercent() < MemberUpdate.FULL_HEADROOM;
        int detailFields = hasHeadroom ? FULL_UPDATE_FIELDS + 1 : FULL_UPDATE_FIELDS;
        out.item(update.hasDetails() ? detailFields : STATUS_ONLY_FIELDS)
                .put(update.id().name())
                .put(update.incarnation())
                .put(update.revision())
                .put(flags);
        if (!update.hasDetails()) {
            return;
        }
        out.put(update.dataCentre().name())
                .put(update.address().host())
                .put(update.address().port())
                .put(update.generation())
                .put(update.processorMillicores());
        if (hasHeadroom) {
            out.put(update.headroomPercent());
        }
    }

    private static int bodyType(Datagram.Body body) {
        if (body instanceof Datagram.Ping) {
            return PING;
        }
        if (body instanceof Datagram.Ack) {
            return ACK;
        }
        if (body instanceof Datagram.PingRequest) {
            return PING_REQUEST;
        }
        return body instanceof Datagram.Compare ? COMPARE : EXCHANGE;
    }

    private void putBody(Datagram.Body body) {
        if (body instanceof Datagram.Ping ping) {
            out.field(ping.number());
        } else if (body instanceof Datagram.Ack ack) {
            out.field(ack.number());
        } else if (body instanceof Datagram.PingRequest request) {
            out.field(request.number())
                    .text(request.target().host())
                    .field(request.target().port());
        } else if (body instanceof Datagram.Compare compare) {
            out.list(compare.digests().size());
            compare.digests().forEach(out::putLong);
            out.endList();
        } else if (body instanceof Datagram.Exchange exchange) {
            out.field(exchange.buckets()).field(exchange.wantsReply() ? 1 : 0);
        }
    }

    private static Datagram read(FieldReader in) throws IOException {
        in.enter();
        int bodyType = in.intField();
        InstanceId id = InstanceId.of(in.text());
        long incarnation = in.field();
        long revision = in.field();
        int flags = in.intField();
        DataCentreId dataCentre = DataCentreId.of(in.text());
        long generation = in.field(0);
        List<MemberUpdate> updates = readUpdates(in);
        Datagram.Body body = readBody(in, bodyType);
        // The fields of an unknown type cannot be distinguished from the processor field.
        boolean isUnknown = body instanceof Datagram.Unknown;
        int processorMillicores = isUnknown ? Member.UNKNOWN_PROCESSOR : in.intField(Member.UNKNOWN_PROCESSOR);
        Datagram.Sender sender = new Datagram.Sender(
                id,
                incarnation,
                revision,
                hasFlag(flags, LEAVING),
                hasFlag(flags, LEFT),
                dataCentre,
                generation,
                processorMillicores,
                isUnknown ? MemberUpdate.UNKNOWN_HEADROOM : readHeadroom(in, MemberUpdate.FULL_HEADROOM));
        return new Datagram(sender, body, updates, isUnknown ? List.of() : readReports(in));
    }

    private static int readHeadroom(FieldReader in, int defaultPercent) throws IOException {
        return clampPercent(in.intField(defaultPercent), defaultPercent);
    }

    private static int clampPercent(int percent, int least) {
        return Math.max(Math.min(least, 0), Math.min(MemberUpdate.FULL_HEADROOM, percent));
    }

    private static List<Datagram.HeadroomReport> readReports(FieldReader in) throws IOException {
        int items = in.list();
        if (items % REPORT_ITEMS != 0) {
            throw new WireException(WireFault.WRONG_TYPE);
        }
        List<Datagram.HeadroomReport> reports = new ArrayList<>(items / REPORT_ITEMS);
        for (int i = 0; i < items; i += REPORT_ITEMS) {
            int key = in.itemInt();
            int percent = clampPercent(in.itemInt(), 0);
            reports.add(new Datagram.HeadroomReport(key, percent, Math.max(0, in.itemInt()) * AGE_UNIT_MS));
        }
        return reports;
    }

    private static List<MemberUpdate> readUpdates(FieldReader in) throws IOException {
        int items = in.list();
        List<MemberUpdate> updates = new ArrayList<>(items);
        for (int i = 0; i < items; i++) {
            int outer = in.enter();
            updates.add(readUpdate(in));
            in.leave(outer);
        }
        return updates;
    }

    private static MemberUpdate readUpdate(FieldReader in) throws IOException {
        InstanceId id = InstanceId.of(in.text());
        long incarnation = in.field();
        long revision = in.field();
        int flags = in.intField();
        boolean leaving = hasFlag(flags, LEAVING);
        if (!in.hasField()) {
            // Without details the status cannot be ALIVE, since an update of a living member carries its address.
            MemberStatus status = hasFlag(flags, LEFT) ? MemberStatus.LEFT : MemberStatus.SUSPECT;
            return MemberUpdate.statusOnly(id, incarnation, revision, status, leaving);
        }
        DataCentreId dataCentre = DataCentreId.of(in.text());
        MemberAddress address = readAddress(in);
        return new MemberUpdate(
                id,
                incarnation,
                revision,
                MemberStatus.ALIVE,
                leaving,
                dataCentre,
                address,
                in.field(0),
                in.intField(Member.UNKNOWN_PROCESSOR),
                readHeadroom(in, MemberUpdate.UNKNOWN_HEADROOM));
    }

    private static Datagram.Body readBody(FieldReader in, int bodyType) throws IOException {
        return switch (bodyType) {
            case PING -> new Datagram.Ping(in.field());
            case ACK -> new Datagram.Ack(in.field());
            case PING_REQUEST -> new Datagram.PingRequest(in.field(), readAddress(in));
            case COMPARE -> new Datagram.Compare(readDigests(in));
            case EXCHANGE -> new Datagram.Exchange(in.intField(), in.intField(0) != 0);
            default -> new Datagram.Unknown();
        };
    }

    private static MemberAddress readAddress(FieldReader in) throws IOException {
        String host = in.text();
        int port = in.intField();
        if (port < 0 || port > 0xffff) {
            throw new WireException(WireFault.WRONG_TYPE);
        }
        return MemberAddress.of(host, port);
    }

    private static List<Integer> readDigests(FieldReader in) throws IOException {
        int items = in.list();
        List<Integer> digests = new ArrayList<>(items);
        for (int i = 0; i < items; i++) {
            digests.add(in.itemInt());
        }
        return digests;
    }

    private static boolean hasFlag(int flags, int flag) {
        return (flags & flag) != 0;
    }
}
