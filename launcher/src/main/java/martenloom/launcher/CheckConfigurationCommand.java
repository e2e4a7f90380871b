package martenloom.launcher;

import martenloom.routing.configuration.Configurations;
import martenloom.routing.language.RoutingLanguage;

/**
 * {@code check-configuration FILE}: reads and checks a configuration, or a text in the routing
 * language.
 */
final class CheckConfigurationCommand implements Command {
    private static final String JSON_SUFFIX = ".json";

    @Override
    public ExitStatus run(CommandArguments arguments) {
        var text = arguments.fileText("read configuration");
        var routingText =
                arguments.file().endsWith(JSON_SUFFIX)
                        ? Configurations.replace(text).routingText()
                        : text;
        var table = RoutingLanguage.compile(routingText);
        System.out.println(
                "ok: revision "
                        + table.revision()
                        + ", "
                        + table.routes().size()
                        + " routes, "
                        + table.services().size()
                        + " services");
        return ExitStatus.SUCCESS;
    }
}
