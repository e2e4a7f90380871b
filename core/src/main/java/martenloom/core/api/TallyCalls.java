package martenloom.core.api;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigValueType;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.math.BigDecimal;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.common.error.MartenloomException;
import martenloom.core.tally.AddOutcome;
import martenloom.core.tally.TallyReplica;
import martenloom.routing.configuration.JsonText;

/** The calls of applications about tallies. Runs on the reactor thread. */
final class TallyCalls {
    private static final String STEP = "read add";

    /** Names and ids: visible ASCII, no blanks. */
    private static final String NAME_FORMAT = "[!-~]{1,128}";

    /** Sums of as many changes as a daemon may hold fit in 64 bits. */
    private static final long MAX_CHANGE = 1_000_000_000_000L;

    private final TallyReplica tallies;

    TallyCalls(TallyReplica tallies) {
        this.tallies = tallies;
    }

    /**
     * Adds to a tally.
     *
     * @param segment its name as the path gives it
     */
    Promise<HttpResponse> update(String segment, String json) {
        String name;
        String id;
        long change;
        try {
            name = name("the name of a tally", ApiRequests.decode(segment));
            var body = JsonText.parse(json);
            id = name("InstanceId", body.getString("InstanceId"));
            change = change(body);
        } catch (MartenloomException | ConfigException | IllegalArgumentException e) {
            return ApiResponses.badRequest("tally: " + ApiRequests.reason(e));
        }
        var response = new SettablePromise<HttpResponse>();
        tallies.add(name, id, change, outcome -> response.set(response(outcome)));
        return response;
    }

    private static String name(String field, String value) {
        if (!value.matches(NAME_FORMAT)) {
            throw new InvalidConfigurationException(
                    STEP, field + ": 1 to 128 visible ASCII characters without blanks");
        }
        return value;
    }

    private static long change(Config body) {
        var value = body.getValue("ChangedBy");
        if (value.valueType() != ConfigValueType.NUMBER) {
            throw new InvalidConfigurationException(STEP, "ChangedBy: must be a whole number");
        }
        var number = new BigDecimal(value.unwrapped().toString());
        if (number.abs().compareTo(BigDecimal.valueOf(MAX_CHANGE)) > 0) {
            throw new InvalidConfigurationException(
                    STEP, "ChangedBy: must be within " + MAX_CHANGE + " of 0");
        }
        if (number.stripTrailingZeros().scale() > 0) {
            throw new InvalidConfigurationException(STEP, "ChangedBy: must be a whole number");
        }
        return number.longValueExact();
    }

    private static HttpResponse response(AddOutcome outcome) {
        return switch (outcome) {
            case COUNTED -> ApiResponses.ok();
            case NOT_TAKEN ->
                    ApiResponses.response(
                            HttpStatus.SERVICE_UNAVAILABLE, "no add is taken here now");
            case UNCERTAIN ->
                    ApiResponses.response(
                            HttpStatus.GATEWAY_TIMEOUT,
                            "not known to be on enough daemons; send it again with the same id");
        };
    }

    /**
     * Reads the total of a tally.
     *
     * @param segment its name as the path gives it
     */
    Promise<HttpResponse> describe(String segment) {
        String name;
        try {
            name = name("the name of a tally", ApiRequests.decode(segment));
        } catch (MartenloomException | IllegalArgumentException e) {
            return ApiResponses.badRequest("tally: " + ApiRequests.reason(e));
        }
        var total = tallies.total(name);
        return total.isPresent()
                ? Promise.of(ApiResponses.ok("{\"Total\":" + total.getAsLong() + "}"))
                : ApiResponses.refused(
                        HttpStatus.SERVICE_UNAVAILABLE, "this daemon has yet to catch up");
    }
}
