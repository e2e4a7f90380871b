package martenloom.launcher;

import martenloom.common.settings.Settings;

/** {@code check-settings FILE}: reads and checks a settings file. */
final class CheckSettingsCommand implements Command {
    @Override
    public ExitStatus run(CommandArguments arguments) {
        var settings = Settings.load(arguments.file());
        System.out.println(
                "ok: "
                        + settings.name
                        + " in "
                        + settings.zone
                        + "/"
                        + settings.region
                        + ", serves "
                        + String.join(",", settings.serves));
        return ExitStatus.SUCCESS;
    }
}
