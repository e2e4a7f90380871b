package martenloom.edge.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import martenloom.edge.overload.OverloadReceiver;
import martenloom.edge.overload.OverloadReport;
import martenloom.edge.overload.ReportSequence;
import martenloom.routing.route.RouteKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A request is tested once against the report of a region, and only for its first attempt. */
final class OverloadReductionTest {
    private static final long NOW_US = RequestFixture.ARRIVED_US;
    private static final String KEY = OverloadReport.key("region", "model");

    private final OverloadReceiver reports = new OverloadReceiver();
    private final OverloadReduction reduction = new OverloadReduction(reports);
    private final Request request =
            RequestFixture.request(RequestFixture.route(RouteKind.IDEMPOTENT, false, 2));
    private final List<String> withheldBy = new ArrayList<>();

    @BeforeEach
    void reportFullReduction() {
        reports.onReport(
                new OverloadReport(
                        "region",
                        "model",
                        "reporter",
                        new ReportSequence(1, 1),
                        10_000_000,
                        OverloadReport.LOSS,
                        100),
                NOW_US);
    }

    private boolean withholds() {
        return reduction.withholds(request, "region", "model", withheldBy, NOW_US);
    }

    @Test
    void aRequestIsTestedOnceInAChoice() {
        assertTrue(withholds());
        assertTrue(withholds());
        assertEquals(List.of(KEY), withheldBy);
        assertEquals(1, reports.state(KEY).considered());
    }

    @Test
    void retriesAreNotWithheld() {
        request.countAttempt();
        assertFalse(withholds());
        assertEquals(0, reports.state(KEY).considered());
    }

    @Test
    void whatWentElsewhereCountsAsSpilled() {
        withholds();
        reduction.onChosen(withheldBy, true);
        reduction.onChosen(List.of(), false);
        assertEquals(1, reduction.spilled());
        assertEquals(1, reports.state(KEY).spilled());
    }

    @Test
    void whatWaitsIsCountedWhenItFirstWaits() {
        withholds();
        reduction.onNothingChosen(request, withheldBy);
        reduction.onNothingChosen(request, withheldBy);
        assertEquals(List.of(KEY), request.withheldBy());
        assertEquals(1, reports.state(KEY).queued());
    }
}
