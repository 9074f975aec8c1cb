#include "sequoiausher/cli/commandline.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/base/ini/problem.h"

#include <iomanip>
#include <ostream>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr const char *program = "sequoiausher";

void printExitCodes(std::ostream &out)
{
    out << "\nExit status:\n";
    for (const auto &row : nameTable<ExitCode>) {
        out << "  " << toStatus(row.value) << "  " << row.name << "\n";
    }
}

void printHelp(const CommandHelp &help, const cxxopts::Options &options, std::ostream &out)
{
    out << options.help() << "\nExamples:\n";
    for (const std::string &example : help.examples) {
        out << "  " << example << "\n";
    }
    printExitCodes(out);
}

ExitCode codeOf(Step step)
{
    switch (step) {
    case Step::Settings:
    case Step::Rules:
        return ExitCode::BadInput;
    case Step::Connect:
    case Step::Platform:
        return ExitCode::Unreachable;
    default:
        return ExitCode::Failed;
    }
}

} // namespace

class CommandLine::Private
{
public:
    void printCommands(std::ostream &out) const
    {
        constexpr int nameWidth = 10;
        out << "Usage: " << program << " COMMAND [OPTION...]\n\nCommands:\n";
        for (const auto &command : this->commands) {
            const CommandHelp help = command->help();
            out << "  " << std::left << std::setw(nameWidth) << help.name << help.summary << "\n";
        }
        out << "\n" << program << " COMMAND --help shows a command's options and examples.\n";
        printExitCodes(out);
    }

    const Command *find(const std::string &name) const
    {
        for (const auto &command : this->commands) {
            if (command->help().name == name) {
                return command.get();
            }
        }
        return nullptr;
    }

    std::string nearest(const std::string &name) const
    {
        std::vector<std::string> names;
        for (const auto &command : this->commands) {
            names.push_back(command->help().name);
        }
        return nearestName(name, names);
    }

    static ExitCode
    runCommand(const Command &command, const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
    {
        const CommandHelp help = command.help();
        cxxopts::Options options(std::string(program) + " " + help.name, help.summary);
        command.addOptions(options);
        options.add_options()("help", "Show this help");
        std::vector<const char *> words{program};
        for (const std::string &argument : arguments) {
            words.push_back(argument.c_str());
        }
        try {
            const cxxopts::ParseResult parsed = options.parse(static_cast<int>(words.size()), words.data());
            if (parsed.count("help") > 0) {
                printHelp(help, options, out);
                return ExitCode::Ok;
            }
            if (!parsed.unmatched().empty()) {
                err << help.name << ": found the word " << inQuotes(parsed.unmatched().front())
                    << ", expected options alone; see " << program << " " << help.name << " --help\n";
                return ExitCode::BadInput;
            }
            return command.run(parsed, out, err);
        } catch (const cxxopts::exceptions::exception &error) {
            err << help.name << ": " << error.what() << "; see " << program << " " << help.name << " --help\n";
            return ExitCode::BadInput;
        } catch (const Error &error) {
            err << help.name << ": " << error.what() << "\n";
            return codeOf(error.step());
        }
    }

    std::vector<std::unique_ptr<Command>> commands;
};

CommandLine::CommandLine() : d(new Private)
{
}

CommandLine::~CommandLine() = default;

void CommandLine::add(std::unique_ptr<Command> command)
{
    this->d->commands.push_back(std::move(command));
}

ExitCode CommandLine::run(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err) const
{
    if (arguments.empty()) {
        this->d->printCommands(err);
        return ExitCode::BadInput;
    }
    const std::string &name = arguments.front();
    if (name == "--help" || name == "help") {
        this->d->printCommands(out);
        return ExitCode::Ok;
    }
    if (const Command *command = this->d->find(name)) {
        return Private::runCommand(*command, {arguments.begin() + 1, arguments.end()}, out, err);
    }
    const std::string nearest = this->d->nearest(name);
    err << program << ": found the unknown command " << inQuotes(name)
        << (nearest.empty() ? "" : "; did you mean '" + nearest + "'?") << " See " << program << " --help\n";
    return ExitCode::BadInput;
}

} // namespace Sequoiausher
