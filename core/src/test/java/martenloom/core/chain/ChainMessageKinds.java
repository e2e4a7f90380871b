package martenloom.core.chain;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** All kinds of chain messages, so that a test can check that it leaves none out. */
final class ChainMessageKinds {
    private ChainMessageKinds() {}

    static Set<Class<?>> all() {
        var kinds = new HashSet<Class<?>>();
        for (var group : ChainMessage.class.getPermittedSubclasses()) {
            kinds.addAll(List.of(group.getPermittedSubclasses()));
        }
        return kinds;
    }
}
