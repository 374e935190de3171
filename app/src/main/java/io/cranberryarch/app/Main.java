package io.cranberryarch.app;

import io.cranberryarch.experiment.ExperimentCommand;
import io.cranberryarch.operator.AccountCommand;
import io.cranberryarch.operator.CheckCommand;
import io.cranberryarch.operator.CommandException;
import io.cranberryarch.operator.DrainCommand;
import io.cranberryarch.operator.ExitCodes;
import io.cranberryarch.operator.ExplainCommand;
import io.cranberryarch.operator.KeyCommand;
import io.cranberryarch.operator.LossesCommand;
import io.cranberryarch.operator.ReportCommand;
import io.cranberryarch.operator.RouteCommand;
import io.cranberryarch.operator.SettingsCommand;
import io.cranberryarch.operator.StatusCommand;
import io.cranberryarch.standin.StandinCommand;
import java.io.IOException;
import java.util.Arrays;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.ParseResult;

/** The root command. */
@Command(
        name = "cranberryarch",
        version = "cranberryarch 0.1.0",
        description = "Overload control for service call graphs.",
        mixinStandardHelpOptions = true,
        subcommands = {
            NodeCommand.class,
            ServeCommand.class,
            CheckCommand.class,
            SettingsCommand.class,
            AccountCommand.class,
            KeyCommand.class,
            RouteCommand.class,
            StatusCommand.class,
            DrainCommand.class,
            ExplainCommand.class,
            LossesCommand.class,
            ReportCommand.class,
            DayReportCommand.class,
            StandinCommand.class,
            ExperimentCommand.class,
            HelpCommand.class,
            AutoComplete.GenerateCompletion.class
        })
public final class Main {

    private Main() {}

    /**
     * Runs a command and ends the process with its exit code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    /**
     * Runs a command.
     *
     * @param arguments the command line
     * @return the exit code, see {@link ExitCodes}
     */
    public static int run(String... arguments) {
        if (arguments.length == 1 && arguments[0].equals(ServeCommand.NAME)) {
            return serve();
        }
        if (arguments.length > 0 && arguments[0].equals(ServeCommand.NAME)) {
            // Only this command is created, as a node starts on every machine and again after each failure, and needs
            // no other command.
            String[] options = Arrays.copyOfRange(arguments, 1, arguments.length);
            return execute(new CommandLine(new ServeCommand()), options);
        }
        return execute(new CommandLine(new Main()), arguments);
    }

    /** Runs a node without the command-line parser. */
    private static int serve() {
        try {
            return NodeProcess.ofEnvironment().run();
        } catch (IOException e) {
            System.err.println("error: " + e.getMessage());
            return ExitCodes.REFUSED;
        }
    }

    private static int execute(CommandLine command, String... arguments) {
        return command.setExecutionExceptionHandler(Main::onException).execute(arguments);
    }

    private static int onException(Exception failure, CommandLine command, ParseResult unused) {
        if (failure instanceof CommandException e) {
            System.err.println("error: " + e.getMessage());
            e.getDetails().forEach(detail -> System.err.println("  " + detail));
            return e.getExitCode();
        }
        System.err.println("error: " + failure.getMessage());
        return command.getCommandSpec().exitCodeOnExecutionException();
    }
}
