package org.marjoramswitch.tool;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import org.marjoramswitch.tool.command.BenchCommand;
import org.marjoramswitch.tool.command.DemoCommand;
import org.marjoramswitch.tool.command.ExplainCommand;
import org.marjoramswitch.tool.command.FleetCommand;
import org.marjoramswitch.tool.command.HelpCommand;
import org.marjoramswitch.tool.command.LoadCommand;
import org.marjoramswitch.tool.command.ReplayCommand;
import org.marjoramswitch.tool.command.SettingsCheckCommand;
import org.marjoramswitch.tool.command.SettingsDiffCommand;
import org.marjoramswitch.tool.command.SettingsGetCommand;
import org.marjoramswitch.tool.command.SettingsHistoryCommand;
import org.marjoramswitch.tool.command.SettingsListCommand;
import org.marjoramswitch.tool.command.SettingsPutCommand;
import org.marjoramswitch.tool.command.SettingsStatusCommand;

/** Declares the commands and command groups of the tool. */
@Cli(
        name = "marjoramswitch",
        description = "Operates and tries out a marjoramswitch fleet.",
        defaultCommand = HelpCommand.class,
        commands = {
            HelpCommand.class,
            BenchCommand.class,
            DemoCommand.class,
            ExplainCommand.class,
            FleetCommand.class,
            LoadCommand.class,
            ReplayCommand.class
        },
        groups =
                @Group(
                        name = "settings",
                        description = "Reads, checks and writes the operators' settings",
                        commands = {
                            SettingsPutCommand.class,
                            SettingsGetCommand.class,
                            SettingsListCommand.class,
                            SettingsCheckCommand.class,
                            SettingsDiffCommand.class,
                            SettingsHistoryCommand.class,
                            SettingsStatusCommand.class
                        }))
final class CommandLine {
    private CommandLine() {}
}
