#pragma once

// The subcommands of the one binary, and the table that finds them.
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

/** What a command shows in its help beside its options. */
struct CommandHelp
{
    /** The word on the command line. */
    std::string name;
    /** One sentence. */
    std::string summary;
    /** Whole command lines that work. */
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
    /** Adds what the command takes. `--help` is there already. */
    virtual void addOptions(cxxopts::Options &options) const = 0;
    /**
     * Runs with options that were read without a mistake. An Error thrown ends as a line on err: with BadInput at the
     * steps settings and rules, with Unreachable at connect, and else with Failed.
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

    /** @param arguments without the program's own name. */
    ExitCode run(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
