package martenloom.launcher.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The pages name types of the sources in backticks; every such name must exist, so that a page
 * never sends its reader to a class that was renamed. A name counts as a type when it is a compound
 * of capitalised words, alone or followed by a member. Incident reports are excluded: they describe
 * the sources of their day.
 */
final class DocumentedTypesTest {
    private static final Pattern TYPE_IN_BACKTICKS =
            Pattern.compile("`([A-Z][a-z0-9]+(?:[A-Z][a-z0-9]+)+)(?:[.#][A-Za-z…]+)?(?:\\(\\))?`");
    private static final Pattern DECLARED_TYPE =
            Pattern.compile("\\b(?:class|interface|record|enum)\\s+([A-Z]\\w+)");
    private static final List<String> MODULES =
            List.of(
                    "common",
                    "autoscaler",
                    "routing",
                    "core",
                    "edge",
                    "simulation",
                    "shell",
                    "launcher");

    /** Names of the operators' interfaces and of libraries, which are written like types. */
    private static final Set<String> NOT_OURS =
            Set.of(
                    "AddressReuseS",
                    "AllowedRegions",
                    "AckTimeoutMs",
                    "CatchUpS",
                    "ConfigApplyMs",
                    "ContactMs",
                    "DataDirectory",
                    "DataOutputStream",
                    "DrainMs",
                    "DueMs",
                    "EvacuationMs",
                    "FaultTolerance",
                    "GracePeriodS",
                    "HeartbeatIntervalMs",
                    "InferenceEngine",
                    "InternalPortRange",
                    "IpAddress",
                    "MaxAttempts",
                    "MaxConnections",
                    "MaxFileDescriptors",
                    "MemoryMb",
                    "NodeName",
                    "RecoverS",
                    "SeedNodes",
                    "StepMs",
                    "StepSize",
                    "TargetGapMs",
                    "TargetLatencyMs",
                    "TimeoutMs",
                    "WarmupLeftMs",
                    "WarmupOverage",
                    "WarmupPerS",
                    "WarmupS",
                    "WarmupSlack",
                    // types of the three model projects, named in DEVELOPERS.md
                    "BackoffPolicy",
                    "CandidateState",
                    "ClusterControlManager",
                    "ConfigurationControlManager",
                    "FollowerState",
                    "LeaderElection",
                    "LeaderState",
                    "OutlierDetectionLoadBalancer",
                    "PickResult",
                    "ReplicationControlManager",
                    "RetriableStream",
                    "TransferLeadership");

    @Test
    void everyTypeThatAPageNamesExists() throws IOException {
        var declared = declaredTypes();
        assertTrue(declared.contains("ClusterState"), "the sources were not found");
        var missing = new TreeSet<String>();
        for (var page : pages()) {
            var names = TYPE_IN_BACKTICKS.matcher(Files.readString(page));
            while (names.find()) {
                var name = names.group(1);
                if (!declared.contains(name) && !NOT_OURS.contains(name)) {
                    missing.add(page.getFileName() + ": " + name);
                }
            }
        }
        assertEquals(Set.of(), missing);
    }

    private static List<Path> pages() throws IOException {
        var root = projectRoot();
        try (var docs = Files.list(root.resolve("docs"));
                var top = Files.list(root)) {
            return Stream.concat(docs, top)
                    .filter(path -> path.toString().endsWith(".md"))
                    .sorted()
                    .toList();
        }
    }

    private static Set<String> declaredTypes() throws IOException {
        var declared = new TreeSet<String>();
        for (var module : MODULES) {
            try (var files = Files.walk(projectRoot().resolve(module).resolve("src"))) {
                var sources =
                        files.filter(path -> path.toString().endsWith(".java"))
                                .collect(Collectors.toList());
                for (var source : sources) {
                    DECLARED_TYPE
                            .matcher(Files.readString(source))
                            .results()
                            .forEach(match -> declared.add(match.group(1)));
                }
            }
        }
        return declared;
    }

    /** Surefire runs tests in the folder of their module. */
    private static Path projectRoot() {
        return Path.of("").toAbsolutePath().getParent();
    }
}
