package martenloom.edge.dispatch;

import java.util.List;
import martenloom.edge.overload.OverloadReceiver;
import martenloom.edge.overload.OverloadReport;

/**
 * Withholds from other regions the share of requests that their overload reports ask for. A request
 * is tested once against the state of a region and model, when that region is about to be chosen
 * for its first attempt. Runs on the reactor thread.
 */
final class OverloadReduction {
    private final OverloadReceiver reports;
    private long spilled;

    OverloadReduction(OverloadReceiver reports) {
        this.reports = reports;
    }

    /** Requests that went to another region. */
    long spilled() {
        return spilled;
    }

    /**
     * Whether a request is withheld from a region.
     *
     * @param withheldBy the states that have withheld it so far in this choice; added to
     */
    boolean withholds(
            Request request, String region, String model, List<String> withheldBy, long nowUs) {
        var key = OverloadReport.key(region, model);
        if (withheldBy.contains(key)) {
            return true;
        }
        if (request.attemptsMade() == 0 && reports.selectNext(key, nowUs)) {
            withheldBy.add(key);
            return true;
        }
        return false;
    }

    /** A replica was chosen; what was withheld has gone elsewhere. */
    void onChosen(List<String> withheldBy, boolean remote) {
        withheldBy.forEach(key -> reports.state(key).countSpilled());
        if (remote) {
            spilled++;
        }
    }

    /** No replica was chosen; what was withheld waits, or is rejected later. */
    void onNothingChosen(Request request, List<String> withheldBy) {
        if (request.withheldBy().isEmpty()) {
            withheldBy.forEach(key -> reports.state(key).countQueued());
        }
        request.setWithheldBy(withheldBy);
    }
}
