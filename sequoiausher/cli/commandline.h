#pragma once

// The subcommands of the program, and the table that finds them by name.
//
//     CommandLine line;
//     line.add(std::make_unique<CheckCommand>());
//     return toStatus(line.run({"check", "--settings", "router.ini"}, std::cout, std::cerr));

#include "sequoiausher/cli/exitcode.h"

#include <cxxopts.hpp>

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher {

/** The help text of a command, without its options. */
struct CommandHelp
{
    /** The name of the command on the command line. */
    std::string name;
    /** One sentence. */
    std::string summary;
    /** Complete command lines. */
    std::vector<std::string> examples;
};

/** One subcommand. */
class Command
{
public:
    Command() = default;
    Command(const Command &) = delete;
    Command &operator=(const Command &) = delete;
    virtual ~Command() = default;

    virtual CommandHelp help() const = 0;
    /** Adds the options of the command; `--help` is added for all commands. */
    virtual void addOptions(cxxopts::Options &options) const = 0;
    /**
     * Runs the command with valid options. An Error that is thrown is written to err as one line; the exit code is
     * BadInput for the steps settings and rules, Unreachable for connect and platform, and Failed otherwise.
     */
    virtual ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const = 0;
};

/** All subcommands. */
class CommandLine
{
public:
    CommandLine();
    ~CommandLine();
    CommandLine(const CommandLine &) = delete;
    CommandLine &operator=(const CommandLine &) = delete;

    void add(std::unique_ptr<Command> command);

    /** @param arguments without the program's name. */
    ExitCode run(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
