package martenloom.launcher;

import java.util.List;
import martenloom.common.settings.IpPort;
import martenloom.routing.placement.Placement;
import martenloom.routing.placement.PlacementFinding;
import martenloom.shell.Shell;

/**
 * {@code check-placement}: what the loss of a region would strand, and whether a change makes it
 * worse; from a file, or for an order against a live core daemon.
 */
final class CheckPlacementCommand implements Command {
    private static final List<String> ORDERS = List.of("unload", "load");

    @Override
    public ExitStatus run(CommandArguments arguments) {
        var daemon = arguments.option("at").orElse("");
        return daemon.isEmpty()
                ? checkFile(PlacementFile.parse(arguments.fileText("read placement")))
                : askDaemon(daemon, arguments.words());
    }

    private static ExitStatus checkFile(PlacementFile file) {
        var findings = file.present().findings(file.routes());
        findings.forEach(finding -> System.out.println("now: " + finding.text()));
        var changed = file.changed();
        if (changed.isEmpty()) {
            return report(
                    findings.stream().allMatch(PlacementFinding::bound),
                    "ok: every model outlives the loss of any one region");
        }
        var added = Placement.regressions(file.present(), changed.get(), file.routes());
        added.forEach(finding -> System.out.println("refused: " + finding.text()));
        return report(added.isEmpty(), "ok: the change strands nothing");
    }

    private static ExitStatus report(boolean passed, String message) {
        if (passed) {
            System.out.println(message);
        }
        return ExitStatus.ofCheck(passed);
    }

    private static ExitStatus askDaemon(String daemon, List<String> words) {
        if (words.size() != 2 || !words.get(0).contains("/") || !ORDERS.contains(words.get(1))) {
            throw CommandArguments.usageError(
                    "check-placement --at IP:PORT takes REGION/MODEL and unload or load");
        }
        var query = "would " + words.get(0) + " " + words.get(1);
        var answer = Shell.ask(IpPort.parse("--at", daemon), query);
        System.out.print(answer);
        return ExitStatus.ofCheck(answer.startsWith("ok"));
    }
}
