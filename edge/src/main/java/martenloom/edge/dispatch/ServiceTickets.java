package martenloom.edge.dispatch;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Random;
import martenloom.routing.route.Route;

/**
 * The numbers by which the requests of a route are spread over its services: each route has a count
 * of its own, so that other routes change nothing, and goes round the sum of its weights in steps
 * that have no factor in common with it, so that each number comes up once a round. Runs on the
 * reactor thread.
 */
final class ServiceTickets {
    /** The part of the sum of weights that is about one step: neighbours come up far apart. */
    private static final double STEP_SHARE = 0.618;

    /** The counts of routes that are gone are dropped with the others at this number. */
    private static final int MAX_ROUTES = 20_000;

    private static final int FIRST_BELOW = 1 << 16;

    private final Object2IntOpenHashMap<String> countByRoute = new Object2IntOpenHashMap<>();
    private final Random random;

    ServiceTickets(Random random) {
        this.random = random;
    }

    /** The ticket of the next request of a route. */
    int next(Route route) {
        var sum = route.weightSum();
        if (route.trafficSplit().size() <= 1 || sum <= 1) {
            return 0;
        }
        return (int) ((long) nextCount(route.name()) * step(sum) % sum);
    }

    private int nextCount(String route) {
        if (countByRoute.size() >= MAX_ROUTES) {
            countByRoute.clear();
        }
        var count =
                countByRoute.containsKey(route)
                        ? countByRoute.getInt(route)
                        : random.nextInt(FIRST_BELOW);
        countByRoute.put(route, count + 1 & Integer.MAX_VALUE);
        return count;
    }

    private static int step(int sum) {
        var step = Math.max(1, (int) (sum * STEP_SHARE));
        while (greatestCommonDivisor(step, sum) > 1) {
            step++;
        }
        return step;
    }

    private static int greatestCommonDivisor(int one, int other) {
        return other == 0 ? one : greatestCommonDivisor(other, one % other);
    }
}
