#pragma once

// `sequoiausher explain-request ID`: shows how one request was handled, from the log lines on standard input.

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** The subcommand. */
class ExplainRequestCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
