package mulleinlever;

import java.util.ArrayList;
import java.util.List;

/** A req in hand, kept until it has its answer and all its tries have ended. */
final class Rq {
    final Req is;
    final Row row;
    final long arrivedNs;
    final long dueNs;
    final List<Try> tries = new ArrayList<>(2);
    int out;
    int neverRan;
    boolean answered;
    boolean streaming;
    boolean calledBack;
    Try mayHaveRun;

    Rq(Req is, Row row, long nowNs) {
        this.is = is;
        this.row = row;
        this.arrivedNs = nowNs;
        this.dueNs = nowNs + is.expiresInNs();
    }

    Try last() {
        return tries.get(tries.size() - 1);
    }

    boolean provenNotRun() {
        return neverRan == tries.size();
    }
}
