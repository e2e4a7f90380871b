package martenloom.simulation.cluster;

import java.util.List;
import java.util.Optional;

/** How clients find members. */
public interface MemberDirectory {
    /** The addresses of the cluster's machines, running or not. */
    List<String> addresses();

    /** The member that runs at an address just now. */
    Optional<MemberApi> api(String address);
}
