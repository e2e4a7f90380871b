package martenloom.launcher;

import martenloom.common.settings.SettingsFile;

/** {@code check-settings FILE}: reads and checks a settings file. */
final class CheckSettingsCommand implements Command {
    @Override
    public ExitStatus run(CommandArguments arguments) {
        var settings = SettingsFile.load(arguments.file());
        System.out.println(
                "ok: "
                        + settings.nodeName()
                        + " in "
                        + settings.zone()
                        + "/"
                        + settings.region()
                        + ", serves "
                        + String.join(",", settings.servedRoles()));
        return ExitStatus.SUCCESS;
    }
}
